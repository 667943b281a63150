//! Property tests of the inputs of the control plane: declarations, store values and messages.
//!
//! Any input must be parsed or rejected with an error; a panic or an accepted damaged document is a
//! failure. The store's rate limit and circuit breaker and the stand-in host list are tested as well.
#![allow(clippy::unwrap_used, reason = "tests panic on unexpected values")]

mod control_support;

use bytes::Bytes;
use control_support::{declarations_variant, declarations_with_workers};
use hemlockrock::audit::trail;
use hemlockrock::audit::{AuditEntry, Segment, SegmentLink};
use hemlockrock::declarations::feed::{Document, Head};
use hemlockrock::declarations::files::{self, Source};
use hemlockrock::declarations::peer::{self, ConfigPart, ConfigRequest, ConfigResponse};
use hemlockrock::declarations::{diff, parts, publish, Declarations, WorkerDeclaration};
use hemlockrock::http::rpc;
use hemlockrock::membership::{Member, Role};
use hemlockrock::standin::hosts::{Host, HostList, HostState, HostsChange};
use hemlockrock::store::backoff::Backoff;
use hemlockrock::store::breaker::{BreakerDecision, CircuitBreaker};
use hemlockrock::store::budget::{Budget, BudgetDecision, TokenBucket};
use hemlockrock::store::{Answer, Entry, Expect, LeaseId, Operation, Priority, Revision};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn source(text: &str) -> Source {
    Source { name: "cell.yaml".to_owned(), text: text.to_owned() }
}

fn name() -> impl Strategy<Value = String> {
    "[a-z][a-z0-9-]{0,8}"
}

prop_compose! {
    fn worker()(
        name in name(),
        zone in 0..4_u8,
        cpu_millis in 1_u64..100_000,
        memory_bytes in 20_000_000_u64..1_000_000_000,
        drain in any::<bool>(),
        labels in prop::collection::hash_map("[a-z]{1,4}", "[a-z]{1,4}", 0..4),
    ) -> WorkerDeclaration {
        WorkerDeclaration {
            name,
            zone: format!("mid-{zone}"),
            rack: "rack-1".to_owned(),
            address: String::new(),
            cpu_millis,
            memory_bytes,
            accelerators: 0,
            drain,
            labels: labels.into_iter().collect(),
        }
    }
}

fn declarations() -> impl Strategy<Value = Declarations> {
    prop::collection::vec(worker(), 0..300).prop_map(|mut found| {
        found.sort_by(|left, right| left.name.cmp(&right.name));
        found.dedup_by(|left, right| left.name == right.name);
        for (index, worker) in found.iter_mut().enumerate() {
            worker.address = format!("127.0.0.1:{}", index + 1);
        }
        Declarations { workers: found, ..declarations_with_workers(0) }
    })
}

fn operation() -> impl Strategy<Value = Operation> {
    let key = "[a-z/]{0,12}";
    let value = prop::collection::vec(any::<u8>(), 0..64).prop_map(Bytes::from);
    let expect = prop_oneof![
        Just(Expect::Any),
        Just(Expect::Absent),
        any::<u64>().prop_map(|revision| Expect::Modified(Revision(revision))),
    ];
    let lease = prop::option::of(any::<u64>().prop_map(LeaseId));
    prop_oneof![
        key.prop_map(|key| Operation::Get { key }),
        key.prop_map(|prefix| Operation::List { prefix }),
        (key, value, expect, lease).prop_map(|(key, value, expect, lease)| Operation::Put {
            key,
            value,
            expect,
            lease
        }),
        any::<u64>().prop_map(|ttl_ms| Operation::Grant { ttl_ms }),
        (key, any::<u64>(), any::<u64>()).prop_map(|(prefix, after, wait_ms)| Operation::Watch {
            prefix,
            after: Revision(after),
            wait_ms
        }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(602),
        ..ProptestConfig::default()
    })]

    #[test]
    fn arbitrary_declarations_text_does_not_panic(text in "[ -~\n\t]{0,300}") {
        let _ = files::merge_and_check(&[source(&text)]);
    }

    #[test]
    fn an_edited_declarations_file_does_not_panic(
        at in 0..2_000_usize,
        replacement in "[ -~\n]{0,6}",
    ) {
        let text = serde_yaml_ng::to_string(&declarations_variant(1)).unwrap();
        let at = at % text.len();
        let changed = format!("{}{replacement}{}", &text[..at], &text[(at + 1).min(text.len())..]);
        let _ = files::merge_and_check(&[source(&changed), source(&text)]);
    }

    #[test]
    fn declarations_round_trip_through_yaml_and_parts(declared in declarations()) {
        let text = serde_yaml_ng::to_string(&declared).unwrap();
        let read = files::merge_and_check(&[source(&text)]);
        prop_assert_eq!(&read.unwrap(), &declared);
        let packed = parts::pack(&declared).unwrap();
        let unpacked = parts::unpack(&packed.manifest.value, |key| {
            packed.parts.iter().find(|part| part.key == key).map(|part| part.value.clone())
        });
        prop_assert_eq!(&unpacked.unwrap(), &declared);
        let mut shuffled = declared.clone();
        shuffled.workers.reverse();
        prop_assert_eq!(parts::pack(&shuffled).unwrap(), packed);
        prop_assert!(diff::differences(&declared, &shuffled).is_empty());
    }

    /// One flipped bit in any part or in the manifest must be detected.
    #[test]
    fn a_document_with_a_damaged_part_is_rejected(declared in declarations(), byte in any::<usize>()) {
        let packed = parts::pack(&declared).unwrap();
        let head = Head {
            revision: 1,
            digest: packed.digest.clone(),
            manifest: packed.manifest.key.clone(),
        };
        let all = packed.parts.iter().chain([&packed.manifest]);
        let mut document =
            Document { head, parts: all.map(|part| (part.key.clone(), part.value.clone())).collect() };
        prop_assert!(document.unpack().is_ok());
        let mut keys: Vec<String> = document.parts.keys().cloned().collect();
        keys.sort();
        let key = &keys[byte % keys.len()];
        let mut value = document.parts[key].to_vec();
        let at = byte / keys.len() % value.len();
        value[at] ^= 1;
        document.parts.insert(key.clone(), Bytes::from(value));
        prop_assert!(document.unpack().is_err());
    }

    #[test]
    fn arbitrary_store_values_do_not_panic(value in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = publish::decode_root(&value);
        let _ = parts::read_manifest(&value);
        let _ = serde_json::from_slice::<Segment>(&value);
        let _ = serde_json::from_slice::<Member>(&value);
    }

    #[test]
    fn arbitrary_messages_do_not_panic(value in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = rpc::decode::<Operation>(&value);
        let _ = rpc::decode::<Answer>(&value);
        let _ = rpc::decode::<ConfigRequest>(&value);
        let _ = rpc::decode::<ConfigResponse>(&value);
    }

    /// An operation decodes to itself, and its encoding without the last byte is rejected.
    #[test]
    fn operations_round_trip_through_their_encoding(operation in operation()) {
        let bytes = rpc::encode(&operation).unwrap();
        let read: Operation = rpc::decode(&bytes).unwrap();
        prop_assert_eq!(format!("{read:?}"), format!("{operation:?}"));
        prop_assert!(rpc::decode::<Operation>(&bytes[..bytes.len() - 1]).is_err());
    }

    /// Repeated requests receive every part of a document, although one response holds only some, and
    /// nothing if the revision is not higher.
    #[test]
    fn a_peer_receives_all_parts_of_a_document(sizes in prop::collection::vec(0..400_000_usize, 0..8), above in 0..3_u64) {
        let parts = sizes.iter().enumerate().map(|(index, size)| {
            (format!("part-{index}"), Bytes::from(vec![0; *size]))
        });
        let head = Head { revision: 2, ..Head::default() };
        let document = Document { head: head.clone(), parts: parts.collect() };
        let mut request = ConfigRequest { above, have: Vec::new() };
        loop {
            let answer = peer::answer(&document, &request);
            let answer: ConfigResponse = rpc::decode(&rpc::encode(&answer).unwrap()).unwrap();
            prop_assert_eq!(answer.head.is_some(), above < 2);
            if answer.parts.is_empty() {
                break;
            }
            request.have.extend(answer.parts.into_iter().map(|ConfigPart { key, .. }| key));
        }
        prop_assert_eq!(request.have.len(), if above < 2 { sizes.len() } else { 0 });
    }

    #[test]
    fn a_token_bucket_does_not_exceed_its_rate(
        per_s in 1_u64..500,
        burst in 1_u64..100,
        steps in prop::collection::vec(0_u64..200, 1..200),
    ) {
        let mut bucket = TokenBucket::new(per_s, burst, 0);
        let (mut now_ms, mut taken) = (0, 0);
        for elapsed_ms in steps {
            now_ms += elapsed_ms;
            taken += u64::from(bucket.try_take(now_ms, 0));
        }
        prop_assert!(taken * 1_000 <= burst * 1_000 + per_s * now_ms);
    }

    /// Whenever a call of any priority may be made, a control call may be made as well.
    #[test]
    fn control_calls_wait_no_longer_than_others(
        calls in prop::collection::vec((any::<bool>(), 0..3_u8, 0_u64..50), 1..300),
    ) {
        let priority = [Priority::Control, Priority::Interactive, Priority::Bulk];
        let mut budget = Budget::new(20, 20, 0);
        let mut now_ms = 0;
        for (is_write, level, elapsed_ms) in calls {
            now_ms += elapsed_ms;
            let mut urgent = budget.clone();
            let decision = budget.try_take(is_write, priority[usize::from(level)], now_ms);
            if decision == BudgetDecision::Granted {
                prop_assert_eq!(urgent.try_take(is_write, Priority::Control, now_ms), BudgetDecision::Granted);
            }
        }
    }

    /// The stand-in shows a change of a host's state once the configured lag is over, not before.
    #[test]
    fn the_host_list_shows_each_change_after_its_lag(
        changes in prop::collection::vec((0_u64..500, 0..3_u8), 1..40),
    ) {
        const LAG_MS: u64 = 300;
        let mut list = HostList::default();
        let (mut now_ms, mut made) = (0, Vec::new());
        for (elapsed_ms, state) in changes {
            now_ms += elapsed_ms;
            let state = [HostState::Live, HostState::Leaving, HostState::Gone][usize::from(state)];
            let host = Host { name: "w1".to_owned(), state };
            list.change(HostsChange { lag_ms: Some(LAG_MS), hosts: vec![host] }, now_ms);
            made.push((now_ms, state));
            let shown = made.iter().rev().find(|(at_ms, _)| at_ms + LAG_MS <= now_ms);
            let expected = shown.map(|(_, state)| *state).filter(|state| *state != HostState::Gone);
            prop_assert_eq!(list.hosts(now_ms).first().map(|host| host.state), expected);
        }
    }

    #[test]
    fn a_circuit_breaker_allows_one_probe_at_a_time(
        seed in any::<u64>(),
        steps in prop::collection::vec((0..3_u8, 0_u64..400), 1..200),
    ) {
        const LIMIT: u32 = 3;
        const PROBE_LIMIT_MS: u64 = 2_000;
        let mut breaker = CircuitBreaker::new(LIMIT, PROBE_LIMIT_MS, Backoff::new(100, 2_000, seed));
        let (mut now_ms, mut probe_at_ms) = (0, None);
        for (kind, elapsed_ms) in steps {
            now_ms += elapsed_ms;
            match kind {
                0 => match breaker.admit(now_ms) {
                    BreakerDecision::Probe => {
                        let overlaps = probe_at_ms.is_some_and(|at| now_ms < at + PROBE_LIMIT_MS);
                        prop_assert!(!overlaps, "two probes at once");
                        probe_at_ms = Some(now_ms);
                    }
                    BreakerDecision::Refused(wait_ms) => prop_assert!(wait_ms <= PROBE_LIMIT_MS),
                    BreakerDecision::Allowed => prop_assert!(!breaker.is_open()),
                },
                1 => {
                    breaker.record_failure(now_ms);
                    probe_at_ms = None;
                }
                _ => {
                    breaker.record_success();
                    probe_at_ms = None;
                    prop_assert!(!breaker.is_open());
                }
            }
        }
    }
}

#[test]
fn a_member_record_keeps_its_key_and_round_trips() {
    let member =
        Member { role: Role::Placer, ..control_support::daemon::member_record("a", "127.0.0.1:1") };
    assert_eq!(member.key(), "cell/members/placer/a");
    let entry = Entry {
        key: member.key(),
        value: serde_json::to_vec(&member).unwrap().into(),
        created: Revision(1),
        modified: Revision(1),
        lease: None,
    };
    assert_eq!(serde_json::from_slice::<Member>(&entry.value).unwrap(), member);
}

#[test]
fn a_full_audit_segment_is_followed_by_a_new_one() {
    let entries = |from: u64, to: u64| {
        (from..=to).map(|revision| AuditEntry { revision, ..AuditEntry::default() }).collect()
    };
    let link = SegmentLink { key: "old".to_owned(), first_revision: 1, last_revision: 504 };
    let segment = Segment { previous: None, entries: entries(1, 504) };
    let recent: Vec<AuditEntry> = entries(505, 536);
    let sealed = trail::seal(&recent, Some((&link, &segment))).unwrap();
    assert_eq!((sealed.link.first_revision, sealed.link.last_revision), (505, 520));
    assert_eq!(sealed.recent.len(), 16);
    let next: Segment = serde_json::from_slice(&sealed.value).unwrap();
    assert_eq!(next.previous, Some(link));
    assert_eq!(trail::seal(&recent[1..], None), None);
}
