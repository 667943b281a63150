//! State charts: life cycles kept in files under `src/charts`, loaded, checked and interpreted.

use std::sync::OnceLock;

use serde::Deserialize;

use crate::collections::{HashMap, HashSet};

/// A life cycle: its states and which event leads from one to the next.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Chart {
    /// Name of the chart, the same as its file.
    pub name: String,
    /// State in which a life begins.
    pub initial: String,
    /// States that nothing leaves.
    #[serde(rename = "final")]
    pub final_states: Vec<String>,
    /// For each state, the next state by event.
    pub states: HashMap<String, HashMap<String, String>>,
}

/// Why a chart file cannot be used or a step is not allowed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum ChartError {
    /// The file is not a chart.
    #[error("chart cannot be read: {0}")]
    Unreadable(String),
    /// A state is named that the chart does not have.
    #[error("chart {chart} has no state {state}")]
    UnknownState {
        /// Chart.
        chart: String,
        /// State.
        state: String,
    },
    /// A state can never be reached, or leads nowhere without being final.
    #[error("chart {chart}: state {state} {problem}")]
    InvalidState {
        /// Chart.
        chart: String,
        /// State.
        state: String,
        /// What is wrong with it.
        problem: &'static str,
    },
    /// The event does not leave the state.
    #[error("chart {chart}: {event} is not allowed in {state}")]
    InvalidEvent {
        /// Chart.
        chart: String,
        /// State.
        state: String,
        /// Event.
        event: String,
    },
}

impl Chart {
    /// Reads a chart from YAML and checks that it is sound.
    ///
    /// # Errors
    /// Text that is not a chart, states that are named but missing, states
    /// that cannot be reached, and dead final_states that are not final.
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

    /// The state that `event` leads to from `state`.
    ///
    /// # Errors
    /// An unknown state, or an event that does not leave it.
    pub fn step(&self, state: &str, event: &str) -> Result<&str, ChartError> {
        if self.is_final(state) {
            return Err(self.invalid_event(state, event));
        }
        let events = self.states.get(state).ok_or_else(|| self.unknown_state(state))?;
        events.get(event).map(String::as_str).ok_or_else(|| self.invalid_event(state, event))
    }

    /// Whether nothing leaves `state`.
    pub fn is_final(&self, state: &str) -> bool {
        self.final_states.iter().any(|end| end == state)
    }

    fn check_names(&self) -> Result<(), ChartError> {
        let targets = self.states.values().flat_map(HashMap::values);
        for state in targets.chain([&self.initial]) {
            if !self.states.contains_key(state) && !self.is_final(state) {
                return Err(self.unknown_state(state));
            }
        }
        Ok(())
    }

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
            Some((state, _)) => Err(self.invalid_state(state, "is a dead end but not final")),
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
    /// Life of a task.
    pub task: Chart,
    /// Life of a worker as the placer sees it.
    pub worker: Chart,
    /// Life of an endpoint as a dispatcher sees it.
    pub endpoint: Chart,
    /// Life of a request.
    pub request: Chart,
    /// Life of a daemon.
    pub daemon: Chart,
}

/// The built-in charts, read once.
///
/// # Panics
/// A chart file in `src/charts` is not sound; a test reads them all.
#[allow(clippy::expect_used, reason = "the files are compiled in and a test loads each")]
pub fn builtin() -> &'static Charts {
    static CHARTS: OnceLock<Charts> = OnceLock::new();
    CHARTS.get_or_init(|| {
        let load = |text| Chart::new(text).expect("built-in chart is sound");
        Charts {
            task: load(include_str!("charts/task.yaml")),
            worker: load(include_str!("charts/worker.yaml")),
            endpoint: load(include_str!("charts/endpoint.yaml")),
            request: load(include_str!("charts/request.yaml")),
            daemon: load(include_str!("charts/daemon.yaml")),
        }
    })
}
