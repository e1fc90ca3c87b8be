//! State machines whose transition tables are parsed from YAML. Used by bbv-node for the states of
//! the node, its upstream, attempts and operations; the latter two change on each non-idempotent
//! call.

use std::fmt;

use marked_yaml::Node;

/// State of a chart, as its index in the file.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct State(u8);

/// Transition table of a state machine.
#[derive(Clone, Debug)]
pub struct Chart {
    states: Vec<String>,
    events: Vec<String>,
    table: Vec<Option<State>>,
}

/// Error for a chart that cannot be parsed or an event that has no transition.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ChartError {
    /// The text is not a chart, for the given reason.
    Malformed(String),
    /// The state has no transition for the event.
    NoTransition {
        /// Current state.
        state: String,
        /// Event without a transition from that state.
        event: String,
    },
}

impl fmt::Display for ChartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ChartError::Malformed(reason) => write!(f, "could not parse chart: {reason}"),
            ChartError::NoTransition { state, event } => {
                write!(f, "could not apply event {event} in state {state}")
            }
        }
    }
}

impl std::error::Error for ChartError {}

impl Chart {
    /// Parses a chart: a mapping of states, each a mapping of events to next states.
    ///
    /// The first state is the initial state.
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
        let mut transitions = Vec::new();
        for (state, row) in root.iter() {
            let Node::Mapping(row) = row else {
                return Err(malformed(&format!("state {} is not a mapping", state.as_str())));
            };
            for (event, next) in row.iter() {
                let next = next.as_scalar().map(|scalar| scalar.as_str().to_owned());
                let next = next.ok_or_else(|| malformed("next state is not a scalar"))?;
                transitions.push((state.as_str().to_owned(), event.as_str().to_owned(), next));
            }
        }
        Chart::build(states, &transitions)
    }

    fn build(
        states: Vec<String>,
        transitions: &[(String, String, String)],
    ) -> Result<Self, ChartError> {
        let mut events: Vec<String> =
            transitions.iter().map(|(_, event, _)| event.clone()).collect();
        events.sort();
        events.dedup();
        let mut table = vec![None; states.len() * events.len()];
        let position = |names: &[String], name: &str| {
            let index = names.iter().position(|other| other == name);
            index.ok_or_else(|| ChartError::Malformed(format!("unknown state {name}")))
        };
        for (state, event, next) in transitions {
            let index = position(&states, state)? * events.len() + position(&events, event)?;
            table[index] = Some(State(position(&states, next)? as u8));
        }
        if states.is_empty() {
            return Err(ChartError::Malformed("no states".to_owned()));
        }
        Ok(Chart { states, events, table })
    }

    /// Initial state.
    pub fn initial(&self) -> State {
        State(0)
    }

    /// Name of a state.
    pub fn name(&self, state: State) -> &str {
        &self.states[state.0 as usize]
    }

    /// State with the given name, if the chart has it.
    pub fn state(&self, name: &str) -> Option<State> {
        self.states.iter().position(|other| other == name).map(|index| State(index as u8))
    }

    /// State that follows `state` on `event`, or an error if there is no such transition.
    pub fn next(&self, state: State, event: &str) -> Result<State, ChartError> {
        let column = self.events.iter().position(|other| other == event);
        let next =
            column.and_then(|column| self.table[state.0 as usize * self.events.len() + column]);
        next.ok_or_else(|| ChartError::NoTransition {
            state: self.name(state).to_owned(),
            event: event.to_owned(),
        })
    }
}
