//! Processor time and memory of another process, from the process file system.

use super::results::Run;

/// Ticks of processor time a second, as the kernel counts them for programs.
const TICKS_PER_S: f64 = 100.0;

/// What a process had used up at one moment.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    cpu_ms: f64,
    resident_bytes: u64,
}

impl Usage {
    /// Memory that is resident, in kibibytes.
    pub fn resident_kb(&self) -> f64 {
        self.resident_bytes as f64 / 1_024.0
    }

    /// Adds what was used since `before` to the figures of a run.
    pub fn add_figures(&self, before: &Self, run: &mut Run) {
        let cpu_ms = self.cpu_ms - before.cpu_ms;
        let kinds = run.windows.iter().flat_map(|window| &window.kinds);
        let sent: u64 = kinds.map(|kind| kind.sent).sum();
        run.figures.insert("process_cpu_ms".to_owned(), cpu_ms);
        run.figures.insert("process_cpu_us_a_request".to_owned(), cpu_ms * 1e3 / sent as f64);
        run.figures.insert("requests_a_core_second".to_owned(), sent as f64 / cpu_ms * 1e3);
        run.figures.insert("process_resident_kb".to_owned(), self.resident_kb());
    }
}

/// What a process has used up until now.
///
/// # Errors
/// There is no such process, or the system has no process file system.
pub fn usage(pid: u32) -> std::io::Result<Usage> {
    const USER_FIELD: usize = 11;
    const MS_PER_S: f64 = 1_000.0;
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    // The name of the program is in parentheses and may hold spaces.
    let fields = stat.rsplit(')').next().unwrap_or_default().split_whitespace();
    let ticks: f64 =
        fields.skip(USER_FIELD).take(2).filter_map(|ticks| ticks.parse::<f64>().ok()).sum();
    let status = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let resident = resident.and_then(|rest| rest.split_whitespace().next()?.parse::<u64>().ok());
    Ok(Usage {
        cpu_ms: ticks / TICKS_PER_S * MS_PER_S,
        resident_bytes: resident.unwrap_or(0) * 1_024,
    })
}
