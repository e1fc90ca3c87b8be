//! Usage text, exit codes and flags, which the command-line programs share.

use std::process::ExitCode;

use getopts::{Matches, Options};

/// Exit code of a command that could not be understood.
const BAD_USAGE: u8 = 2;

/// Command-line program.
#[derive(Clone, Copy, Debug)]
pub struct Program {
    /// Name, which begins each error.
    pub name: &'static str,
    /// Usage text.
    pub usage: &'static str,
}

impl Program {
    /// Prints the usage to standard output.
    ///
    /// ```
    /// let program = bbv_cli::Program { name: "bbv-x", usage: "usage: bbv-x\n" };
    /// assert_eq!(program.help(), std::process::ExitCode::SUCCESS);
    /// ```
    pub fn help(&self) -> ExitCode {
        print!("{}", self.usage);
        ExitCode::SUCCESS
    }

    /// Prints the usage to standard error and returns exit code 2.
    ///
    /// ```
    /// let program = bbv_cli::Program { name: "bbv-x", usage: "usage: bbv-x\n" };
    /// assert_eq!(program.reject(), std::process::ExitCode::from(2));
    /// ```
    pub fn reject(&self) -> ExitCode {
        eprint!("{}", self.usage);
        ExitCode::from(BAD_USAGE)
    }

    /// Parses flags; if they are invalid, prints the error and the usage.
    ///
    /// ```
    /// let program = bbv_cli::Program { name: "bbv-x", usage: "usage: bbv-x\n" };
    /// let args = ["--loud".to_owned()];
    /// assert!(program.parse(&getopts::Options::new(), &args).is_err());
    /// ```
    pub fn parse(&self, options: &Options, args: &[String]) -> Result<Matches, ExitCode> {
        options.parse(args).map_err(|error| {
            eprintln!("{}: {error}", self.name);
            self.reject()
        })
    }

    /// Prints the error of a command, if any, and returns its exit code.
    ///
    /// ```
    /// let program = bbv_cli::Program { name: "bbv-x", usage: "usage: bbv-x\n" };
    /// assert_eq!(program.report(Ok(())), std::process::ExitCode::SUCCESS);
    /// ```
    pub fn report(&self, result: eyre::Result<()>) -> ExitCode {
        match result {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("{}: {error:#}", self.name);
                ExitCode::FAILURE
            }
        }
    }
}

/// Returns the whole number given for a flag, or `default`.
///
/// ```
/// let mut options = getopts::Options::new();
/// options.optopt("", "seed", "seed", "N");
/// let matches = options.parse(["--seed", "x"])?;
/// assert!(bbv_cli::number(&matches, "seed", 1).is_err());
/// # Ok::<(), getopts::Fail>(())
/// ```
pub fn number(matches: &Matches, name: &str, default: u64) -> eyre::Result<u64> {
    let Some(text) = matches.opt_str(name) else { return Ok(default) };
    text.parse().map_err(|_| eyre::eyre!("could not parse --{name}: {text} is not a whole number"))
}
