//! The decoders of the platform adapter accept any input without a panic and decode valid input in
//! full.

use hemlockrock::platform::callers::{self, DecodedSubmission};
use hemlockrock::platform::{declarations, orders, runners, settings};
use hemlockrock::queue::model::{JobId, RunEnd, TaskId};
use proptest::prelude::*;

const TASK: &str = "5c0e7a21d94b36f8.0.1.17";

proptest! { #[test] fn arbitrary_bytes_do_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..400)) { let _ = settings::decode(&bytes); let _ = declarations::decode(&bytes); let _ = runners::decode("servers/i-1", &bytes); let _ = orders::decode_status(&bytes); let _ = callers::decode_submission(JobId(1), "q", &bytes, 0); }

#[test] fn arbitrary_json_does_not_panic( name in "(steps|spec|count|routes|version|service|state|capacity|running|born)", value in "(null|true|-1|1e300|\"x\"|\\[\\]|\\[\\[1,2\\]\\]|\\{\\}|18446744073709551616)", ) { let text = format!("{{\"{name}\":{value},\"steps\":[{{\"count\":{value}}}]}}"); let _ = settings::decode(text.as_bytes()); let _ = declarations::decode(text.as_bytes()); let _ = runners::decode("servers/i-1", text.as_bytes()); let _ = orders::decode_status(text.as_bytes()); let _ = callers::decode_submission(JobId(1), "q", text.as_bytes(), 0); }

#[test] fn task_ids_survive_a_round_trip( job in any::<u64>(), step in 0..9_u32, index in 0..99_u32, ) { let text = format!("{}.0.{step}.{index}", JobId(job)); prop_assert_eq!(TaskId::parse(&text).unwrap().to_string(), text); } }

#[test]
fn malformed_and_foreign_runner_records_are_rejected() {
    let valid = r#"{"service":"s","address":"10.0.0.1:8080","zone":"z","state":"ready",
        "capacity":{"cpu":16000,"mem-mb":1024},"labels":["a"],"born":5,"new-field":{}}"#;
    let report = runners::decode("servers/i-1", valid.as_bytes()).unwrap();
    assert_eq!((&*report.id, report.capacity.cpu_millis), ("i-1", 16_000));
    assert_eq!(report.capacity.memory_bytes, 1024 << 20);
    let malformed = [
        valid.replace("\"ready\"", "\"resting\""),
        valid.replace("16000", "\"many\""),
        valid.replace("\"zone\":\"z\",", ""),
        valid.replace("10.0.0.1:8080", "nowhere"),
        valid[..40].to_owned(),
    ];
    for text in &malformed {
        assert!(runners::decode("servers/i-1", text.as_bytes()).is_err(), "{text}");
    }
    assert!(runners::decode("elsewhere/i-1", valid.as_bytes()).is_err());
}

#[test]
fn runner_status_is_decoded_with_and_without_load() {
    let text = format!(
        r#"{{"clock-ms":482113,"born":7,"running":[["{TASK}",2,"c1",41],["{TASK}",3,"",100,250],
        ["not a task",1,"",0]],"ended-runs":[[58,"{TASK}",1,"done",""],[59,"{TASK}",2,"odd",""]]}}"#
    );
    let status = orders::decode_status(text.as_bytes()).unwrap();
    assert_eq!((status.clock_ms, status.started_unix_ms), (482_113, 7));
    assert_eq!(status.running.len(), 2);
    assert!((status.running[1].load - 250.0).abs() < f64::EPSILON);
    assert_eq!(status.ended.len(), 1);
    assert_eq!((status.ended[0].number, status.ended[0].end), (58, RunEnd::Done));
}

// Guards against times that overflow: leases are reckoned from the clock in a runner's answer.
#[test]
fn a_status_with_a_clock_out_of_range_is_malformed() {
    let status =
        |clock: &str| orders::decode_status(format!("{{\"clock-ms\":{clock}}}").as_bytes());
    assert!(status("1e300").is_err());
    assert!(status("18446744073709551615").is_err());
    assert_eq!(status("-5").unwrap().clock_ms, 0);
    assert_eq!(status("482113").unwrap().clock_ms, 482_113);
}

#[test]
fn submissions_are_decoded_in_full_or_rejected_with_a_reason() {
    let decode = |text: &str| callers::decode_submission(JobId(1), "q", text.as_bytes(), 9);
    let text = r#"{"spec":"s","steps":[{"count":4,"cpu":500,"mem-mb":256,"estimate-ms":900},
        {"count":2,"cpu":1,"after":[0],"long-running":true,"may-miss":1,"target-ms":80}]}"#;
    let DecodedSubmission::Job(job) = decode(text) else { panic!("expected a valid job") };
    assert_eq!((job.steps[0].count, job.steps[0].need.cpu_millis), (4, 500));
    assert!(
        job.steps[1].is_long_running
            && job.steps[1].after == [0]
            && job.steps[1].max_unavailable == 1
    );
    assert!(matches!(decode("{}"), DecodedSubmission::Invalid(error) if error.contains("steps")));
    let forward = r#"{"steps":[{"count":1,"after":[1]},{"count":1}]}"#;
    assert!(
        matches!(decode(forward), DecodedSubmission::Invalid(error) if error.contains("earlier"))
    );
    let repeating = r#"{"repeat-count":3,"steps":[{"count":1}]}"#;
    assert_eq!(decode(repeating), DecodedSubmission::Repeating);
}

#[test]
fn faulty_workspaces_are_left_out_and_the_rest_of_a_configuration_is_used() {
    let text = r#"{"version":4,"routes":[{"name":"q","host":"h","prefix":"/q/","service":"s",
        "public":true}],"tenants":[
        {"name":"a","api-keys":["key-a","shared"],"weight":2.5,"priority":1,
         "max-count":{"cpu":8000,"mem-mb":1024,"gpu":0}},
        {"name":"b","api-keys":["key-b","shared"]},
        {"name":"a","api-keys":["key-c"]},
        {"api-keys":["key-d"]}, {"name":"e","api-keys":"key-e"}, {"name":"f","weight":"x"},
        {"name":"g","max-count":{"cpu":-1},"api-keys":["key-g"]}, null, 7, "key-h", []]}"#;
    let directory = declarations::decode(text.as_bytes()).unwrap();
    assert!(directory.queues[0].is_public);
    let workspaces = directory.workspaces.unwrap();
    let name = |key: &str| workspaces.with_key(key.as_bytes()).map(|found| found.name.to_string());
    assert_eq!(name("key-a").as_deref(), Some("a"));
    assert_eq!(name("key-b").as_deref(), Some("b"));
    for key in ["shared", "key-c", "key-d", "key-e", "key-g", "key-h"] {
        assert_eq!(name(key), None, "{key}");
    }
    let a = workspaces.named("a").unwrap();
    assert_eq!((a.limit.cpu_millis, a.limit.accelerators), (8_000, u32::MAX));
    assert!((a.weight - 2.5).abs() < f64::EPSILON);
    assert_eq!(workspaces.named("b").unwrap().limit.cpu_millis, u64::MAX);
}

#[test]
fn configurations_without_workspaces_need_no_keys() {
    let decode = |text: &str| declarations::decode(text.as_bytes());
    assert!(decode(r#"{"version":1}"#).unwrap().workspaces.is_none());
    assert!(decode(r#"{"version":1,"tenants":[]}"#).unwrap().workspaces.is_some());
}

// Guards against keys in the log, which quotes the error of an unreadable configuration.
#[test]
fn the_error_of_a_malformed_list_of_workspaces_quotes_no_key() {
    for tenants in [r#""key-a""#, r#"{"api-keys":["key-a"]}"#, "7", "true"] {
        let text = format!(r#"{{"version":1,"tenants":{tenants}}}"#);
        let error = declarations::decode(text.as_bytes()).unwrap_err();
        assert!(error.contains("tenants") && !error.contains("key-a"), "{error}");
    }
}

#[test]
fn keys_stay_valid_without_the_store_unless_the_settings_limit_that() {
    let decode = |bounds: &str| {
        let text = format!(
            r#"{{"node-name":"h","ip":"10.0.0.1","zone":"z","internal-ports":[7],
            "listen-addrs":{{"front":"f","ready":"r"}},"platform":{{"address":"p"}}{bounds}}}"#
        );
        settings::decode(text.as_bytes()).unwrap().key_validity_ms
    };
    assert_eq!(decode(""), None);
    assert_eq!(decode(r#","bounds":{"revoke-ms":700}"#), None);
    assert_eq!(decode(r#","bounds":{"revoke-strict":true}"#), Some(5_000));
    assert_eq!(decode(r#","bounds":{"revoke-strict":true,"revoke-ms":700}"#), Some(700));
}
