//! State charts read from files.

use std::fmt;

use marked_yaml::Node;

/// A state of a chart, by its position in the file.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct State(u8);

/// Transition table read from YAML.
#[derive(Clone, Debug)]
pub struct Chart {
    states: Vec<String>,
    events: Vec<String>,
    table: Vec<Option<State>>,
}

/// Why a chart could not be read or an event is not allowed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ChartError {
    /// The file is not a chart; holds the reason.
    Malformed(String),
    /// The state has no transition for the event.
    Forbidden {
        /// State in which the event came.
        state: String,
        /// Event without a transition.
        event: String,
    },
}

impl fmt::Display for ChartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ChartError::Malformed(reason) => write!(f, "could not read chart: {reason}"),
            ChartError::Forbidden { state, event } => {
                write!(f, "could not apply event {event} in state {state}")
            }
        }
    }
}

impl std::error::Error for ChartError {}

impl Chart {
    /// Reads a chart: a mapping of states, each a mapping of events to next states.
    ///
    /// The first state is the initial one.
    ///
    /// ```
    /// use bbv_core::chart::Chart;
    /// let chart = Chart::parse("open:\n  close: shut\nshut: {}\n")?;
    /// let shut = chart.next(chart.initial(), "close")?;
    /// assert_eq!(chart.name(shut), "shut");
    /// assert!(chart.next(shut, "close").is_err());
    /// # Ok::<(), bbv_core::chart::ChartError>(())
    /// ```
    pub fn parse(text: &str) -> Result<Self, ChartError> {
        let malformed = |reason: &str| ChartError::Malformed(reason.to_owned());
        let node = marked_yaml::parse_yaml(0, text).map_err(|e| malformed(&e.to_string()))?;
        let Node::Mapping(root) = &node else { return Err(malformed("expected a mapping")) };
        let states: Vec<String> = root.keys().map(|key| key.as_str().to_owned()).collect();
        let mut rows = Vec::new();
        for (state, row) in root.iter() {
            let Node::Mapping(row) = row else {
                return Err(malformed(&format!("state {} is not a mapping", state.as_str())));
            };
            for (event, next) in row.iter() {
                let next = next.as_scalar().map(|scalar| scalar.as_str().to_owned());
                let next = next.ok_or_else(|| malformed("a next state is not a name"))?;
                rows.push((state.as_str().to_owned(), event.as_str().to_owned(), next));
            }
        }
        Chart::build(states, &rows)
    }

    fn build(states: Vec<String>, rows: &[(String, String, String)]) -> Result<Self, ChartError> {
        let mut events: Vec<String> = rows.iter().map(|(_, event, _)| event.clone()).collect();
        events.sort();
        events.dedup();
        let mut table = vec![None; states.len() * events.len()];
        let find = |names: &[String], name: &str| {
            let at = names.iter().position(|other| other == name);
            at.ok_or_else(|| ChartError::Malformed(format!("unknown state {name}")))
        };
        for (state, event, next) in rows {
            let at = find(&states, state)? * events.len() + find(&events, event)?;
            table[at] = Some(State(find(&states, next)? as u8));
        }
        if states.is_empty() {
            return Err(ChartError::Malformed("no states".to_owned()));
        }
        Ok(Chart { states, events, table })
    }

    /// State in which everything begins.
    pub fn initial(&self) -> State {
        State(0)
    }

    /// Name of a state.
    pub fn name(&self, state: State) -> &str {
        &self.states[state.0 as usize]
    }

    /// State of a given name.
    pub fn state(&self, name: &str) -> Option<State> {
        self.states.iter().position(|other| other == name).map(|at| State(at as u8))
    }

    /// State after `event`, or an error when the chart forbids it.
    pub fn next(&self, state: State, event: &str) -> Result<State, ChartError> {
        let at = self.events.iter().position(|other| other == event);
        let next = at.and_then(|at| self.table[state.0 as usize * self.events.len() + at]);
        next.ok_or_else(|| ChartError::Forbidden {
            state: self.name(state).to_owned(),
            event: event.to_owned(),
        })
    }
}
