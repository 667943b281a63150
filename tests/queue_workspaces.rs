//! Lookup of workspaces by API key, and authentication of requests.

#![allow(clippy::unwrap_used, reason = "tests panic on unexpected values")]

use hemlockrock::place::spec::Resources;
use hemlockrock::queue::authentication::{self, RefusedKey};
use hemlockrock::queue::model::{JobId, Queue, QueueDirectory, Submission};
use hemlockrock::queue::peer::RelayRequest;
use hemlockrock::queue::record;
use hemlockrock::queue::workspaces::{JobOwner, Workspace, Workspaces, MAX_KEY_BYTES};
use proptest::prelude::*;

fn workspace(name: &str) -> Workspace {
    Workspace { name: name.into(), weight: 1.0, limit: Resources::new(1, 1, 1) }
}

fn directory(workspaces: Workspaces) -> QueueDirectory {
    QueueDirectory { version: 1, workspaces: Some(workspaces), ..QueueDirectory::default() }
}

fn authenticate(keys: &[&str], is_public: bool) -> Result<Option<JobOwner>, RefusedKey> {
    let (workspaces, _) = Workspaces::new([(workspace("a"), ["key-a"])]);
    let queue = Queue { is_public, ..Queue::default() };
    authentication::authenticate(&directory(workspaces), &queue, keys.iter().copied(), true)
}

#[test]
fn requests_without_exactly_one_valid_key_are_refused() {
    let owner = JobOwner::Workspace("a".into());
    assert_eq!(authenticate(&["key-a"], false), Ok(Some(owner)));
    assert_eq!(authenticate(&[], false), Err(RefusedKey::Missing));
    assert_eq!(authenticate(&["key-a", "key-a"], false), Err(RefusedKey::Repeated));
    let overlong = "k".repeat(MAX_KEY_BYTES + 1);
    for unknown in ["", " ", "key", "KEY-A", "key-a,key-a", "ключ", overlong.as_str()] {
        assert_eq!(authenticate(&[unknown], false), Err(RefusedKey::Unknown), "{unknown}");
    }
}

#[test]
fn keys_are_not_read_on_public_queues_and_without_workspaces() {
    for keys in [&[][..], &["key-a"], &["other"], &["key-a", "key-a"]] {
        assert_eq!(authenticate(keys, true), Ok(Some(JobOwner::Nobody)));
        let open = QueueDirectory { version: 1, ..QueueDirectory::default() };
        let keys = keys.iter().copied();
        let owner = authentication::authenticate(&open, &Queue::default(), keys, false);
        assert_eq!(owner, Ok(None));
    }
}

// Guards against a removed key that a host without the store goes on to accept in strict mode.
#[test]
fn a_key_that_may_have_been_removed_is_refused_as_unconfirmed() {
    let (workspaces, _) = Workspaces::new([(workspace("a"), ["key-a"])]);
    let directory = directory(workspaces);
    let ask = |queue: &Queue| authentication::authenticate(&directory, queue, ["key-a"], false);
    assert_eq!(ask(&Queue::default()), Err(RefusedKey::Unconfirmed));
    let public = Queue { is_public: true, ..Queue::default() };
    assert_eq!(ask(&public), Ok(Some(JobOwner::Nobody)));
}

#[test]
fn a_key_of_two_workspaces_admits_to_neither_and_a_second_workspace_of_a_name_is_ignored() {
    let (workspaces, findings) = Workspaces::new([
        (workspace("a"), vec!["shared", "key-a", "key-a"]),
        (workspace("b"), vec!["shared", "key-b", ""]),
        (workspace("a"), vec!["key-c"]),
    ]);
    assert_eq!(findings.len(), 3, "{findings:?}");
    assert!(workspaces.with_key(b"shared").is_none());
    assert!(workspaces.with_key(b"key-c").is_none());
    assert_eq!(&*workspaces.with_key(b"key-a").unwrap().name, "a");
    assert_eq!(&*workspaces.with_key(b"key-b").unwrap().name, "b");
    assert_eq!(workspaces.iter().count(), 2);
}

// Guards against records and relayed operations that hosts of earlier versions cannot read.
#[test]
fn without_workspaces_records_and_relayed_operations_are_as_before() {
    let record = br#"{"id":7,"queue":"q","spec":[],"steps":[],"accepted_unix_ms":9}"#;
    let submission: Submission = serde_json::from_slice(record).unwrap();
    assert_eq!(submission.workspace, None);
    assert_eq!(serde_json::to_vec(&submission).unwrap(), record);
    let read = record::encode(&RelayRequest::state(JobId(7), None)).unwrap();
    assert_eq!(read, record::encode(&RelayRequest::State(JobId(7))).unwrap());
    assert_eq!(
        serde_json::to_string(&RelayRequest::cancel(JobId(7), None)).unwrap(),
        r#"{"Cancel":7}"#
    );
    let owned = RelayRequest::cancel(JobId(7), Some(JobOwner::Workspace("a".into())));
    assert_eq!(serde_json::to_string(&owned).unwrap(), r#"{"CancelOf":[7,{"Workspace":"a"}]}"#);
}

proptest! {
    // Guards against keys in logs: findings and debug output may be logged.
    #[test]
    fn keys_appear_neither_in_findings_nor_in_debug_output(
        keys in proptest::collection::vec("[a-z0-9]{20}", 1..4),
    ) {
        let declared = [(workspace("a"), keys.clone()), (workspace("b"), keys.clone())];
        let (workspaces, findings) = Workspaces::new(declared);
        let shown = format!("{findings:?} {:?}", directory(workspaces));
        prop_assert!(keys.iter().all(|key| !shown.contains(key.as_str())));
    }
}
