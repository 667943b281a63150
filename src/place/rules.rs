//! Placement rules declared by operators: anti-affinity, all-or-nothing start, preemption order.

use super::spec::{JobKind, JobSpec};
use crate::declarations::RuleDeclaration;

/// One side of an anti-affinity rule; flipping the lowest bit gives the other side.
pub(crate) type Mark = u16;

/// Parsed placement rules, by kind.
#[derive(Clone, Debug, Default)]
pub(crate) struct Rules {
    /// Pairs of labels whose jobs must not share a worker.
    apart: Vec<(Label, Label)>,
    /// Labels of batch jobs that are placed all together or not at all.
    whole: Vec<Label>,
    /// Labels of jobs that are preempted before others.
    stop_first: Vec<Label>,
}

/// A job label, written `key=value` in a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Label {
    key: String,
    value: String,
}

/// Effects of the placement rules on one job.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Ruling {
    /// Sides of anti-affinity rules that the job is on.
    pub(crate) marks: Vec<Mark>,
    /// Whether all tasks of the job are placed together or not at all.
    pub(crate) is_whole: bool,
    /// Whether the tasks of the job are preempted before those of other jobs.
    pub(crate) stops_first: bool,
}

impl Rules {
    /// Parses the declared rules. A rule with an invalid label or an unknown kind has no effect.
    pub(crate) fn new(declared: &[RuleDeclaration]) -> Self {
        let mut rules = Self::default();
        for rule in declared {
            let Some(matches) = Label::parse(&rule.matches) else { continue };
            match rule.kind.as_str() {
                "apart" => {
                    if let Some(other) = Label::parse(&rule.other) {
                        rules.apart.push((matches, other));
                    }
                }
                "whole" => rules.whole.push(matches),
                "stop_first" => rules.stop_first.push(matches),
                _ => {}
            }
        }
        rules
    }

    /// Returns the effects of the rules on a job.
    pub(crate) fn ruling(&self, spec: &JobSpec) -> Ruling {
        let mut marks = Vec::new();
        for (rule, (matches, other)) in (0..).zip(&self.apart) {
            if matches.is_on(spec) {
                marks.push(rule * 2);
            }
            if other.is_on(spec) {
                marks.push(rule * 2 + 1);
            }
        }
        let any = |labels: &[Label]| labels.iter().any(|label| label.is_on(spec));
        Ruling {
            marks,
            is_whole: spec.kind == JobKind::Gang || spec.kind == JobKind::Batch && any(&self.whole),
            stops_first: any(&self.stop_first),
        }
    }

    /// Returns the number of anti-affinity sides: two for each rule.
    pub(crate) fn mark_count(&self) -> usize {
        self.apart.len() * 2
    }
}

impl Label {
    fn parse(text: &str) -> Option<Self> {
        let (key, value) = text.split_once('=')?;
        Some(Self { key: key.to_owned(), value: value.to_owned() })
    }

    fn is_on(&self, spec: &JobSpec) -> bool {
        spec.labels.get(&self.key) == Some(&self.value)
    }
}
