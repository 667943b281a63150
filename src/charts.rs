//! State charts: loads, validates and interprets the state machines in the YAML files under
//! `src/charts`.

use std::sync::OnceLock;

use serde::Deserialize;

use crate::collections::{HashMap, HashSet};

/// A state machine: its states, and the events that lead from one state to another.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Chart {
    /// Name of the chart, which is also the name of its file.
    pub name: String,
    /// State in which every instance begins.
    pub initial: String,
    /// States that no event leaves; they need no entry in `states`.
    #[serde(rename = "final")]
    pub final_states: Vec<String>,
    /// Transitions: for each state, the next state by event.
    pub states: HashMap<String, HashMap<String, String>>,
}

/// Why a chart is invalid, or an event is not allowed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum ChartError {
    /// The text is not YAML of a chart.
    #[error("invalid chart: {0}")]
    Unreadable(String),
    /// A state is referred to that the chart does not define.
    #[error("chart {chart} has no state {state}")]
    UnknownState {
        /// Name of the chart.
        chart: String,
        /// Name of the state.
        state: String,
    },
    /// A state cannot be reached, or has no transitions and is not final.
    #[error("chart {chart}: state {state} {problem}")]
    InvalidState {
        /// Name of the chart.
        chart: String,
        /// Name of the state.
        state: String,
        /// What is wrong with the state.
        problem: &'static str,
    },
    /// The state has no transition for the event.
    #[error("chart {chart}: event {event} is not allowed in state {state}")]
    InvalidEvent {
        /// Name of the chart.
        chart: String,
        /// Name of the state.
        state: String,
        /// Name of the event.
        event: String,
    },
}

impl Chart {
    /// Parses a chart from YAML and validates it.
    ///
    /// # Errors
    /// The text is not a chart, or a state is undefined, unreachable, or a
    /// dead end that is not final.
    ///
    /// ```
    /// use hemlockrock::charts;
    ///
    /// let text = "name: lamp\ninitial: off\nfinal: [broken]\nstates:\n  off: {press: on}\n  on: {press: off, drop: broken}\n";
    /// let lamp = charts::Chart::new(text)?;
    /// assert_eq!(lamp.step("off", "press")?, "on");
    /// assert!(lamp.step("off", "drop").is_err());
    /// # Ok::<(), charts::ChartError>(())
    /// ```
    pub fn new(text: &str) -> Result<Self, ChartError> {
        let chart: Self = serde_yaml_ng::from_str(text)
            .map_err(|error| ChartError::Unreadable(error.to_string()))?;
        chart.check_names()?;
        chart.check_reachability()?;
        Ok(chart)
    }

    /// Returns the state that `event` leads to from `state`.
    ///
    /// # Errors
    /// The state is unknown, or has no transition for the event.
    pub fn step(&self, state: &str, event: &str) -> Result<&str, ChartError> {
        if self.is_final(state) {
            return Err(self.invalid_event(state, event));
        }
        let events = self.states.get(state).ok_or_else(|| self.unknown_state(state))?;
        events.get(event).map(String::as_str).ok_or_else(|| self.invalid_event(state, event))
    }

    /// Whether `state` is final.
    pub fn is_final(&self, state: &str) -> bool {
        self.final_states.iter().any(|end| end == state)
    }

    /// Checks that the initial state and all targets of transitions are defined.
    fn check_names(&self) -> Result<(), ChartError> {
        let targets = self.states.values().flat_map(HashMap::values);
        for state in targets.chain([&self.initial]) {
            if !self.states.contains_key(state) && !self.is_final(state) {
                return Err(self.unknown_state(state));
            }
        }
        Ok(())
    }

    /// Checks that every state can be reached and that dead ends are final.
    fn check_reachability(&self) -> Result<(), ChartError> {
        let mut seen = HashSet::default();
        let mut open = vec![self.initial.as_str()];
        while let Some(state) = open.pop() {
            if seen.insert(state) {
                let events = self.states.get(state);
                open.extend(events.iter().flat_map(|events| events.values().map(String::as_str)));
            }
        }
        for state in self.states.keys().chain(&self.final_states) {
            if !seen.contains(state.as_str()) {
                return Err(self.invalid_state(state, "cannot be reached"));
            }
        }
        match self.states.iter().find(|(state, events)| events.is_empty() && !self.is_final(state))
        {
            Some((state, _)) => {
                Err(self.invalid_state(state, "has no transitions but is not final"))
            }
            None => Ok(()),
        }
    }

    fn unknown_state(&self, state: &str) -> ChartError {
        ChartError::UnknownState { chart: self.name.clone(), state: state.to_owned() }
    }

    fn invalid_state(&self, state: &str, problem: &'static str) -> ChartError {
        ChartError::InvalidState { chart: self.name.clone(), state: state.to_owned(), problem }
    }

    fn invalid_event(&self, state: &str, event: &str) -> ChartError {
        ChartError::InvalidEvent {
            chart: self.name.clone(),
            state: state.to_owned(),
            event: event.to_owned(),
        }
    }
}

/// The charts that the daemons interpret.
#[derive(Debug)]
pub struct Charts {
    /// States of a task in placement.
    pub task: Chart,
    /// States of a worker as the placer sees it.
    pub worker: Chart,
    /// States of an endpoint as the dispatcher of an entry host sees it.
    pub endpoint: Chart,
    /// States of a request in an entry host.
    pub request: Chart,
    /// States of a daemon from its start to the end of its shutdown.
    pub daemon: Chart,
}

/// Returns the built-in charts, which are parsed on the first call.
///
/// # Panics
/// A chart file in `src/charts` is invalid; a test loads them all.
#[allow(clippy::expect_used, reason = "the files are compiled in and a test loads each")]
pub fn builtin() -> &'static Charts {
    static CHARTS: OnceLock<Charts> = OnceLock::new();
    CHARTS.get_or_init(|| {
        let load = |text| Chart::new(text).expect("built-in chart is valid");
        Charts {
            task: load(include_str!("charts/task.yaml")),
            worker: load(include_str!("charts/worker.yaml")),
            endpoint: load(include_str!("charts/endpoint.yaml")),
            request: load(include_str!("charts/request.yaml")),
            daemon: load(include_str!("charts/daemon.yaml")),
        }
    })
}
