//! Rules from the operators: which jobs stay apart, start whole or are stopped first.

use super::spec::{JobKind, JobSpec};
use crate::declarations::RuleDeclaration;

/// One side of a rule that keeps jobs apart; the other side has the lowest bit flipped.
pub(crate) type Mark = u16;

/// Rules in force.
#[derive(Clone, Debug, Default)]
pub(crate) struct Rules {
    apart: Vec<(Label, Label)>,
    whole: Vec<Label>,
    stop_first: Vec<Label>,
}

/// A label `key=value`.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Label {
    key: String,
    value: String,
}

/// What the rules say of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Ruling {
    /// Sides of the rules that keep it apart from others.
    pub(crate) marks: Vec<Mark>,
    /// Whether it starts all its tasks or none.
    pub(crate) is_whole: bool,
    /// Whether it is stopped before others.
    pub(crate) stops_first: bool,
}

impl Rules {
    /// Reads the declared rules; a rule without a readable label has no effect.
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

    /// What the rules say of a job.
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

    /// Number of marks.
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
