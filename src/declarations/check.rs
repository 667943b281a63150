//! Checks merged declarations: names, references, sizes, addresses and rules.

use crate::collections::HashMap;
use crate::declarations::files::{Merged, Origin};
use crate::declarations::{
    EndpointDeclaration, RuleDeclaration, ServiceDeclaration, WorkerDeclaration,
};
use crate::findings::Findings;

/// Longest valid name, in bytes.
const NAME_LIMIT_BYTES: usize = 63;

/// Largest valid processor time of a worker, in thousandths of a core.
const CPU_LIMIT_MILLIS: u64 = 4_096_000;

/// Smallest valid memory of a worker, in bytes.
const MEMORY_MIN_BYTES: u64 = 16 * 1024 * 1024;

/// Largest valid memory of a worker, in bytes.
const MEMORY_LIMIT_BYTES: u64 = 128 * 1024 * 1024 * 1024 * 1024;

/// Largest valid number of accelerators of a worker.
const ACCELERATORS_LIMIT: u32 = 1_024;

/// Largest valid number of slots of an endpoint.
const SLOTS_LIMIT: u32 = 65_536;

/// Valid kinds of rules.
const RULE_KINDS: [&str; 3] = ["apart", "whole", "stop_first"];

/// Reports every invalid value and reference in merged declarations, at most one finding per
/// field.
pub fn check(merged: &Merged, findings: &mut Findings) {
    let mut checker = Checker { merged, findings, addresses: HashMap::default() };
    checker.check_zones();
    checker.check_workers();
    checker.check_services();
    checker.check_teams();
    checker.check_rules();
}

struct Checker<'a> {
    merged: &'a Merged,
    findings: &'a mut Findings,
    /// Owner of each address seen so far, such as `worker w1`.
    addresses: HashMap<String, String>,
}

impl<'a> Checker<'a> {
    /// Reports a fault in a field of an item, unless one was reported there before. An empty
    /// `field` stands for the whole item.
    fn report(&mut self, origin: &Origin, field: &str, message: impl Into<String>) {
        let (file, position, path) = self.merged.position(origin, field);
        let mut known = self.findings.items.iter();
        if !known.any(|finding| finding.file == file && finding.path == path) {
            self.findings.push(file, position, path, message);
        }
    }

    fn require(&mut self, holds: bool, origin: &Origin, field: &str, message: &str) {
        if !holds {
            self.report(origin, field, message);
        }
    }

    /// Checks that names are well formed and unique.
    fn check_names(&mut self, names: impl Iterator<Item = &'a str>, origins: &'a [Origin]) {
        let mut first: HashMap<&str, &Origin> = HashMap::default();
        for (name, origin) in names.zip(origins) {
            self.check_name(name, origin, "name");
            if let Some(first) = first.get(name) {
                let (file, position, _) = self.merged.position(first, "name");
                let message = format!("{name} is already declared at {file}:{}", position.line);
                self.report(origin, "name", message);
                continue;
            }
            first.insert(name, origin);
        }
    }

    fn check_name(&mut self, name: &str, origin: &Origin, field: &str) {
        let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
        let is_valid = !name.is_empty()
            && name.len() <= NAME_LIMIT_BYTES
            && name.bytes().all(is_allowed)
            && name.as_bytes()[0].is_ascii_alphanumeric();
        let expected = "expected 1 to 63 letters, digits, '-', '_' or '.', a letter or digit first";
        self.require(is_valid, origin, field, expected);
    }

    fn check_zone(&mut self, zone: &str, origin: &Origin, field: &str) {
        let zones = &self.merged.declarations.zones;
        if !zones.iter().any(|known| known.name == zone) {
            self.report(origin, field, format!("zone {zone:?} is not declared under zones"));
        }
    }

    /// Checks that an address is well formed and that no other worker or endpoint has it.
    fn check_address(&mut self, address: &str, owner: String, origin: &Origin, field: &str) {
        if address.parse::<std::net::SocketAddr>().is_err() {
            self.report(origin, field, "expected IP:port");
            return;
        }
        if let Some(other) = self.addresses.get(address) {
            let message = format!("address {address} is already used by {other}");
            self.report(origin, field, message);
            return;
        }
        self.addresses.insert(address.to_owned(), owner);
    }

    fn check_zones(&mut self) {
        let merged = self.merged;
        let names = merged.declarations.zones.iter().map(|zone| zone.name.as_str());
        self.check_names(names, &merged.origins.zones);
    }

    fn check_workers(&mut self) {
        let merged = self.merged;
        let workers = &merged.declarations.workers;
        self.check_names(
            workers.iter().map(|worker| worker.name.as_str()),
            &merged.origins.workers,
        );
        for (worker, origin) in workers.iter().zip(&merged.origins.workers) {
            self.check_zone(&worker.zone, origin, "zone");
            self.check_name(&worker.rack, origin, "rack");
            self.check_address(
                &worker.address,
                format!("worker {}", worker.name),
                origin,
                "address",
            );
            self.check_worker_sizes(worker, origin);
        }
    }

    fn check_worker_sizes(&mut self, worker: &WorkerDeclaration, origin: &Origin) {
        let cpu = (1..=CPU_LIMIT_MILLIS).contains(&worker.cpu_millis);
        self.require(cpu, origin, "cpu_millis", "expected 1 to 4096000 thousandths of a core");
        let memory = (MEMORY_MIN_BYTES..=MEMORY_LIMIT_BYTES).contains(&worker.memory_bytes);
        self.require(memory, origin, "memory_bytes", "expected 16 MiB to 128 TiB, in bytes");
        let accelerators = worker.accelerators <= ACCELERATORS_LIMIT;
        self.require(accelerators, origin, "accelerators", "expected at most 1024");
    }

    fn check_services(&mut self) {
        let merged = self.merged;
        let services = &merged.declarations.services;
        self.check_names(
            services.iter().map(|service| service.name.as_str()),
            &merged.origins.services,
        );
        for (service, origin) in services.iter().zip(&merged.origins.services) {
            let is_ordered = service.long_ms == 0 || service.long_ms >= service.expected_ms;
            self.require(is_ordered, origin, "long_ms", "expected at least expected_ms");
            self.check_endpoints(service, origin);
        }
    }

    fn check_endpoints(&mut self, service: &ServiceDeclaration, origin: &Origin) {
        let mut first: HashMap<&str, usize> = HashMap::default();
        for (index, endpoint) in service.endpoints.iter().enumerate() {
            let field = |name: &str| format!("endpoints[{index}].{name}");
            self.check_name(&endpoint.name, origin, &field("name"));
            if let Some(before) = first.insert(endpoint.name.as_str(), index) {
                let message =
                    format!("{} is already declared as endpoints[{before}]", endpoint.name);
                self.report(origin, &field("name"), message);
            }
            self.check_zone(&endpoint.zone, origin, &field("zone"));
            let owner = format!("endpoint {}/{}", service.name, endpoint.name);
            self.check_address(&endpoint.address, owner, origin, &field("address"));
            self.check_endpoint_sizes(endpoint, origin, field);
        }
    }

    fn check_endpoint_sizes(
        &mut self,
        endpoint: &EndpointDeclaration,
        origin: &Origin,
        field: impl Fn(&str) -> String,
    ) {
        let slots = (1..=SLOTS_LIMIT).contains(&endpoint.slots);
        self.require(slots, origin, &field("slots"), "expected 1 to 65536");
        let connections = endpoint.connections >= endpoint.slots;
        let message = "expected at least as many as slots, as each request needs a connection";
        self.require(connections, origin, &field("connections"), message);
    }

    fn check_teams(&mut self) {
        let merged = self.merged;
        let teams = &merged.declarations.teams;
        self.check_names(teams.iter().map(|team| team.name.as_str()), &merged.origins.teams);
        for (team, origin) in teams.iter().zip(&merged.origins.teams) {
            let can_run = team.cpu_millis > 0 && team.memory_bytes > 0;
            let message =
                "expected cpu_millis and memory_bytes above 0, or the team can run nothing";
            self.require(can_run, origin, "", message);
        }
    }

    fn check_rules(&mut self) {
        let merged = self.merged;
        let rules = &merged.declarations.rules;
        self.check_names(rules.iter().map(|rule| rule.name.as_str()), &merged.origins.rules);
        for (index, (rule, origin)) in rules.iter().zip(&merged.origins.rules).enumerate() {
            self.check_rule(rule, origin);
            let earlier = rules[..index].iter().find(|earlier| is_equivalent(earlier, rule));
            if let Some(earlier) = earlier {
                self.report(origin, "", format!("repeats rule {}", earlier.name));
            }
        }
    }

    fn check_rule(&mut self, rule: &RuleDeclaration, origin: &Origin) {
        let is_known = RULE_KINDS.contains(&rule.kind.as_str());
        self.require(is_known, origin, "kind", "expected apart, whole or stop_first");
        self.require(is_label(&rule.matches), origin, "matches", "expected key=value");
        if rule.kind == "apart" {
            self.require(is_label(&rule.other), origin, "other", "expected key=value");
        } else if is_known {
            let message = "expected only in a rule of kind apart";
            self.require(rule.other.is_empty(), origin, "other", message);
        }
    }
}

fn is_label(label: &str) -> bool {
    label.split_once('=').is_some_and(|(key, value)| !key.is_empty() && !value.is_empty())
}

/// Whether two rules have the same effect; `matches` and `other` of `apart` may be swapped.
fn is_equivalent(left: &RuleDeclaration, right: &RuleDeclaration) -> bool {
    let sides = |rule: &RuleDeclaration| {
        let mut sides = [rule.matches.clone(), rule.other.clone()];
        sides.sort();
        sides
    };
    left.kind == right.kind && sides(left) == sides(right)
}
