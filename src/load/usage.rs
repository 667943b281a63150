//! CPU time and memory of another process, read from procfs.

use super::results::Run;

/// Clock ticks per second in `/proc/PID/stat` (`USER_HZ`), 100 on Linux.
const TICKS_PER_S: f64 = 100.0;

/// CPU time that a process has used since its start, and the memory that it uses now.
#[derive(Clone, Copy, Debug)]
pub struct ProcessUsage {
    cpu_ms: f64,
    resident_bytes: u64,
}

impl ProcessUsage {
    /// Resident memory, in KiB.
    pub fn resident_kb(&self) -> f64 {
        self.resident_bytes as f64 / 1_024.0
    }

    /// Adds the CPU time since `before`, in all and for each request, and the memory to the figures
    /// of a run.
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

/// Reads the usage of a process.
///
/// # Errors
/// There is no process `pid`, or procfs is not mounted.
pub fn read(pid: u32) -> std::io::Result<ProcessUsage> {
    const UTIME_INDEX: usize = 11;
    const MS_PER_S: f64 = 1_000.0;
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    // The second field, the program's name in parentheses, may contain spaces, so fields are
    // counted from its end: utime is at this index, stime follows.
    let fields = stat.rsplit(')').next().unwrap_or_default().split_whitespace();
    let ticks: f64 =
        fields.skip(UTIME_INDEX).take(2).filter_map(|ticks| ticks.parse::<f64>().ok()).sum();
    let status = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let resident = resident.and_then(|rest| rest.split_whitespace().next()?.parse::<u64>().ok());
    Ok(ProcessUsage {
        cpu_ms: ticks / TICKS_PER_S * MS_PER_S,
        resident_bytes: resident.unwrap_or(0) * 1_024,
    })
}
