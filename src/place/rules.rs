//! Placement rules declared by operators: anti-affinity, all-or-nothing start, preemption order.

use super::spec::{JobKind, JobSpec};
use crate::declarations::RuleDeclaration;

/// One side of an anti-affinity rule; flipping the lowest bit gives the other side.
pub(crate) type AntiAffinitySide = u16;

/// Parsed placement rules, by kind.
#[derive(Clone, Debug, Default)]
pub(crate) struct Rules {
    /// Pairs of labels whose jobs must not share a worker.
    anti_affinity_rules: Vec<(Label, Label)>,
    /// Labels of batch jobs that are placed all together or not at all.
    all_or_nothing_labels: Vec<Label>,
    /// Labels of jobs that are preempted before others.
    preempt_first_labels: Vec<Label>,
}

/// A job label, written `key=value` in a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Label {
    key: String,
    value: String,
}

/// Effects of the placement rules on one job.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct JobRules {
    /// Sides of anti-affinity rules that the job is on.
    pub(crate) anti_affinity: Vec<AntiAffinitySide>,
    /// Whether all tasks of the job are placed together or not at all.
    pub(crate) is_all_or_nothing: bool,
    /// Whether the tasks of the job are preempted before those of other jobs.
    pub(crate) is_preempted_first: bool,
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
                        rules.anti_affinity_rules.push((matches, other));
                    }
                }
                "whole" => rules.all_or_nothing_labels.push(matches),
                "stop_first" => rules.preempt_first_labels.push(matches),
                _ => {}
            }
        }
        rules
    }

    /// Returns the effects of the rules on a job.
    pub(crate) fn for_job(&self, spec: &JobSpec) -> JobRules {
        let mut anti_affinity = Vec::new();
        for (rule, (matches, other)) in (0..).zip(&self.anti_affinity_rules) {
            if matches.matches(spec) {
                anti_affinity.push(rule * 2);
            }
            if other.matches(spec) {
                anti_affinity.push(rule * 2 + 1);
            }
        }
        let any = |labels: &[Label]| labels.iter().any(|label| label.matches(spec));
        JobRules {
            anti_affinity,
            is_all_or_nothing: spec.kind == JobKind::Gang
                || spec.kind == JobKind::Batch && any(&self.all_or_nothing_labels),
            is_preempted_first: any(&self.preempt_first_labels),
        }
    }

    /// Returns the number of anti-affinity sides: two for each rule.
    pub(crate) fn anti_affinity_side_count(&self) -> usize {
        self.anti_affinity_rules.len() * 2
    }
}

impl Label {
    fn parse(text: &str) -> Option<Self> {
        let (key, value) = text.split_once('=')?;
        Some(Self { key: key.to_owned(), value: value.to_owned() })
    }

    fn matches(&self, spec: &JobSpec) -> bool {
        spec.labels.get(&self.key) == Some(&self.value)
    }
}
