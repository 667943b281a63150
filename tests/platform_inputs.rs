//! The adapter's decoders take any input without a panic and keep what is well formed.

use hemlockrock::platform::callers::{self, DecodedSubmission};
use hemlockrock::platform::{declarations, orders, runners, settings};
use hemlockrock::queue::model::{JobId, RunEnd, TaskId};
use proptest::prelude::*;

const TASK: &str = "5c0e7a21d94b36f8.0.1.17";

proptest! {
    #[test]
    fn any_bytes_are_taken_without_a_panic(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let _ = settings::decode(&bytes);
        let _ = declarations::decode(&bytes);
        let _ = runners::decode("servers/i-1", &bytes);
        let _ = orders::decode_status(&bytes);
        let _ = callers::decode_submission(JobId(1), "q", &bytes, 0);
    }

    #[test]
    fn any_json_is_taken_without_a_panic(
        name in "(steps|spec|count|routes|version|service|state|capacity|running|born)",
        value in "(null|true|-1|1e300|\"x\"|\\[\\]|\\[\\[1,2\\]\\]|\\{\\}|18446744073709551616)",
    ) {
        let text = format!("{{\"{name}\":{value},\"steps\":[{{\"count\":{value}}}]}}");
        let _ = settings::decode(text.as_bytes());
        let _ = declarations::decode(text.as_bytes());
        let _ = runners::decode("servers/i-1", text.as_bytes());
        let _ = orders::decode_status(text.as_bytes());
        let _ = callers::decode_submission(JobId(1), "q", text.as_bytes(), 0);
    }

    #[test]
    fn task_names_are_read_as_they_are_written(
        job in any::<u64>(), step in 0..9_u32, index in 0..99_u32,
    ) {
        let text = format!("{}.0.{step}.{index}", JobId(job));
        prop_assert_eq!(TaskId::parse(&text).unwrap().to_string(), text);
    }
}

#[test]
fn a_runner_record_of_another_writer_names_no_runner() {
    let whole = r#"{"service":"s","address":"10.0.0.1:8080","zone":"z","state":"ready",
        "capacity":{"cpu":16000,"mem-mb":1024},"labels":["a"],"born":5,"new-field":{}}"#;
    let report = runners::decode("servers/i-1", whole.as_bytes()).unwrap();
    assert_eq!((&*report.id, report.capacity.cpu_millis), ("i-1", 16_000));
    assert_eq!(report.capacity.memory_bytes, 1024 << 20);
    let spoilt = [
        whole.replace("\"ready\"", "\"resting\""),
        whole.replace("16000", "\"many\""),
        whole.replace("\"zone\":\"z\",", ""),
        whole.replace("10.0.0.1:8080", "nowhere"),
        whole[..40].to_owned(),
    ];
    for text in &spoilt {
        assert!(runners::decode("servers/i-1", text.as_bytes()).is_err(), "{text}");
    }
    assert!(runners::decode("elsewhere/i-1", whole.as_bytes()).is_err());
}

#[test]
fn the_lists_of_a_runner_are_read_with_and_without_the_figure_of_load() {
    let text = format!(
        r#"{{"clock-ms":482113,"born":7,"running":[["{TASK}",2,"c1",41],["{TASK}",3,"",100,250],
        ["not a task",1,"",0]],"ended-runs":[[58,"{TASK}",1,"done",""],[59,"{TASK}",2,"odd",""]]}}"#
    );
    let status = orders::decode_status(text.as_bytes()).unwrap();
    assert_eq!((status.clock_ms, status.born_unix_ms), (482_113, 7));
    assert_eq!(status.running.len(), 2);
    assert!((status.running[1].load - 250.0).abs() < f64::EPSILON);
    assert_eq!(status.ended.len(), 1);
    assert_eq!((status.ended[0].number, status.ended[0].end), (58, RunEnd::Done));
}

#[test]
fn a_submission_keeps_every_field_and_what_is_wrong_with_it_is_said() {
    let decode = |text: &str| callers::decode_submission(JobId(1), "q", text.as_bytes(), 9);
    let text = r#"{"spec":"s","steps":[{"count":4,"cpu":500,"mem-mb":256,"estimate-ms":900},
        {"count":2,"cpu":1,"after":[0],"long-running":true,"may-miss":1,"target-ms":80}]}"#;
    let DecodedSubmission::Job(job) = decode(text) else { panic!("a job") };
    assert_eq!((job.steps[0].count, job.steps[0].need.cpu_millis), (4, 500));
    assert!(job.steps[1].is_lasting && job.steps[1].after == [0] && job.steps[1].may_miss == 1);
    assert!(matches!(decode("{}"), DecodedSubmission::Invalid(error) if error.contains("steps")));
    let forward = r#"{"steps":[{"count":1,"after":[1]},{"count":1}]}"#;
    assert!(
        matches!(decode(forward), DecodedSubmission::Invalid(error) if error.contains("earlier"))
    );
    let repeats = r#"{"repeat-count":3,"steps":[{"count":1}]}"#;
    assert_eq!(decode(repeats), DecodedSubmission::Repeating);
}
