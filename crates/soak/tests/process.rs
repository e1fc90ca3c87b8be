//! Tests of the stand-in of a supervisor that starts and signals nodes.

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::time::Duration;

use bbv_mesh::settings::Settings;
use bbv_stand::process::{Process, Signal};

/// A supervisor that sends SIGHUP before the process that it has started ignores it ends that
/// process by the default action. Each start is signalled at once, first and later ones.
#[test]
fn start_ignores_hangup_from_the_first_signal() {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("hangup");
    fs::create_dir_all(&folder).expect("could not create the folder");
    let program = folder.join("program");
    fs::write(&program, "#!/bin/sh\nexec sleep 5\n").expect("could not write the program");
    let permissions = fs::Permissions::from_mode(0o755);
    fs::set_permissions(&program, permissions).expect("could not make the program executable");
    for attempt in 0..100 {
        let settings = Settings { node: "n".to_owned(), ..Settings::default() };
        let mut process =
            Process::start(&program, &folder, &settings).expect("could not start the program");
        process.signal(Signal::Hup).expect("could not send SIGHUP");
        std::thread::sleep(Duration::from_millis(5));
        assert_eq!(process.status(), None, "start {attempt}");
        process.signal(Signal::Kill).expect("could not kill the program");
        process.restart().expect("could not restart the program");
        process.signal(Signal::Hup).expect("could not send SIGHUP");
        std::thread::sleep(Duration::from_millis(5));
        assert_eq!(process.status(), None, "restart {attempt}");
    }
}
