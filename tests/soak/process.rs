//! Runners that are processes: the soak binary, started again in a hidden mode.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::str::FromStr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, mpsc};
use std::thread;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;

use crate::answer::{
    IDLE_TIME, Life, Notices, Report, Slots, answer, answer_early, bad_part, is_for,
};
use crate::command::unused_loopback_ip;
use crate::early::{Early, read_upload};
use crate::environment::{self, asks_for_report, read_head};
use crate::judge::Judge;
use crate::server::{CRASH_TIME, Listing, now_ms};
use crate::trouble::Instruction;

/// First argument of the hidden mode.
pub const MODE: &str = "--runner";

/// Port of a runner, below the ephemeral port range of the system. Each has a loopback
/// address of its own.
const PORT: u16 = 7310;

/// Time within which a process listens, also on a busy machine.
const START_TIME: Duration = Duration::from_secs(10);

/// Exit code of a runner that a prompt part ends.
const CRASH_CODE: i32 = 7;

/// Line with which a process says that it listens.
const LISTENS: &str = "listens";

#[derive(Debug)]
struct State {
    child: Option<Child>,
    // Numbers of the runner and of those that had the address before.
    number: usize,
    former: Vec<usize>,
    listing: Arc<Listing>,
    // Number of starts and ends; a start that was planned before another one is void.
    generation: u64,
    has_left: bool,
    // Time from its start on within which the process answers no report.
    silence: Duration,
}

/// Runner process, which starts again at its address.
#[derive(Debug)]
pub struct Process {
    pub address: SocketAddr,
    notices: Arc<Notices>,
    /// Requests that run at once; 0 for any number.
    slots: usize,
    judge: Judge,
    state: Mutex<State>,
}

impl Process {
    /// Returns a runner that has not started.
    pub fn new(
        number: usize,
        slots: Option<usize>,
        notices: Arc<Notices>,
        judge: &Judge,
        listing: &Arc<Listing>,
    ) -> Self {
        Process {
            address: SocketAddr::new(unused_loopback_ip(), PORT),
            notices,
            slots: slots.unwrap_or(0),
            judge: judge.clone(),
            state: Mutex::new(State {
                child: None,
                number,
                former: Vec::new(),
                listing: listing.clone(),
                generation: 0,
                has_left: false,
                silence: Duration::ZERO,
            }),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panicked")
    }

    /// Starts the process unless it was started or ended since `generation`; returns whether
    /// it did. It listens afterwards.
    pub fn start(self: &Arc<Self>, generation: u64, born: u64, version: usize) -> bool {
        let mut state = self.state();
        if state.generation != generation || state.child.is_some() || state.has_left {
            return false;
        }
        let file = std::env::current_exe().expect("the soak has a file");
        let mut command = Command::new(file);
        command.arg(MODE).args([
            self.address.to_string(),
            state.number.to_string(),
            born.to_string(),
            version.to_string(),
            self.slots.to_string(),
            state.silence.as_millis().to_string(),
        ]);
        command.args(state.former.iter().map(usize::to_string));
        command.stdin(Stdio::piped()).stdout(Stdio::piped());
        let mut child = command.spawn().expect("the runner starts");
        let output = child.stdout.take().expect("the output is a pipe");
        let number = state.number;
        let silence = state.silence;
        self.judge.note(&format!(
            "i-{number} starts born={born} v{version} silence={silence:?}"
        ));
        state.child = Some(child);
        state.generation += 1;
        let (listens, is_listening) = mpsc::channel();
        let (runner, generation) = (self.clone(), state.generation);
        thread::spawn(move || {
            let mut has_crashed = false;
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                if line == LISTENS {
                    // The start may have given up waiting.
                    let _ = listens.send(());
                    continue;
                }
                let report = Report::decode(&line).expect("a report of a runner");
                has_crashed |= matches!(report, Report::Crash { .. });
                runner.judge.record_report(report);
            }
            runner.revive(generation, has_crashed, version);
        });
        send_notices(&mut state, &self.notices);
        let listens = is_listening.recv_timeout(START_TIME);
        listens.expect("the runner listens in time");
        true
    }

    /// Starts a process again that ended by itself after a crash.
    fn revive(self: &Arc<Self>, generation: u64, has_crashed: bool, version: usize) {
        let mut state = self.state();
        if state.generation != generation {
            return;
        }
        let Some(mut child) = state.child.take() else {
            return;
        };
        let code = child.wait().expect("the process can be waited for").code();
        state.generation += 1;
        let (generation, listing) = (state.generation, state.listing.clone());
        drop(state);
        if !has_crashed || code != Some(CRASH_CODE) {
            let text = format!("a runner at {} ended with {code:?}", self.address);
            self.judge.report("soak", &text);
        }
        thread::sleep(CRASH_TIME);
        let born = now_ms();
        if self.start(generation, born, version) {
            listing.update(born, version);
        }
    }

    /// Kills the process; returns the generation from which it can start again.
    pub fn kill(&self) -> u64 {
        self.kill_in(&mut self.state())
    }

    /// Same, unless it was started or ended since `generation`.
    pub fn kill_if_unchanged(&self, generation: u64) -> Option<u64> {
        let mut state = self.state();
        (state.generation == generation).then(|| self.kill_in(&mut state))
    }

    fn kill_in(&self, state: &mut State) -> u64 {
        state.generation += 1;
        if let Some(mut child) = state.child.take() {
            self.judge.note(&format!("i-{} is killed", state.number));
            child.kill().expect("the process can be killed");
            child.wait().expect("the process can be waited for");
        }
        state.generation
    }

    /// Lets processes that start from now on answer no report for a time.
    pub fn set_silence(&self, silence: Duration) {
        self.state().silence = silence;
    }

    /// Lets the next start be that of another runner.
    pub fn rename(&self, number: usize, listing: &Arc<Listing>) {
        let mut state = self.state();
        let former = std::mem::replace(&mut state.number, number);
        state.former.push(former);
        state.listing = listing.clone();
    }

    /// Kills the process for good.
    pub fn leave(&self) {
        self.state().has_left = true;
        self.kill();
    }

    pub fn signal(&self, signal: Signal) {
        let state = self.state();
        if let Some(child) = &state.child {
            self.judge
                .note(&format!("i-{} gets {signal}", state.number));
            let pid = nix::unistd::Pid::from_raw(child.id() as i32);
            // The process may have ended by itself.
            let _ = nix::sys::signal::kill(pid, signal);
        }
    }

    /// Lets the process learn what changed in its notices.
    pub fn send_notices(&self) {
        send_notices(&mut self.state(), &self.notices);
    }

    /// Lets the process carry out an instruction, if it runs.
    pub fn send_instruction(&self, instruction: Instruction) {
        send_line(&mut self.state(), &instruction.encode());
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.leave();
    }
}

fn send_notices(state: &mut State, notices: &Notices) {
    let line = format!(
        "{} {} {}",
        u64::from(notices.is_leaving.load(Ordering::SeqCst)),
        notices.limit.load(Ordering::SeqCst),
        notices.resets.load(Ordering::SeqCst)
    );
    send_line(state, &line);
}

fn send_line(state: &mut State, line: &str) {
    let Some(input) = state.child.as_mut().and_then(|child| child.stdin.as_mut()) else {
        return;
    };
    // The process may have ended by itself.
    let _ = input.write_all(format!("{line}\n").as_bytes());
}

/// Serves as a runner until the process ends, or the soak does. `args` are the address, the
/// number, the start, the version and the slots of the runner, the time in ms for which it
/// answers no report, then the numbers of runners that had the address before.
pub fn run(args: &[String]) -> ! {
    let address: SocketAddr = parse(&args[0]);
    let life = Life {
        number: parse(&args[1]),
        born: parse(&args[2]),
        version: parse(&args[3]),
        is_named: true,
        former: args[6..].iter().map(parse).collect(),
        runs: AtomicU64::new(0),
        slots: Arc::new(Slots::new(Some(parse(&args[4])).filter(|slots| *slots > 0))),
    };
    let speaks_at = Instant::now() + Duration::from_millis(parse(&args[5]));
    let notices: Arc<Notices> = Arc::default();
    let heard = notices.clone();
    thread::spawn(move || {
        for line in std::io::stdin().lines().map_while(Result::ok) {
            if let Some(instruction) = Instruction::decode(&line) {
                heard.trouble.apply(instruction);
                continue;
            }
            let values: Vec<u64> = line.split(' ').map(parse).collect();
            heard.is_leaving.store(values[0] > 0, Ordering::SeqCst);
            heard.limit.store(values[1], Ordering::SeqCst);
            heard.resets.store(values[2], Ordering::SeqCst);
        }
        std::process::exit(0);
    });
    let listener = TcpListener::bind(address).expect("the address is free");
    println!("{LISTENS}");
    let life = Arc::new(life);
    for stream in listener.incoming().flatten() {
        let (life, notices) = (life.clone(), notices.clone());
        thread::spawn(move || serve(stream, &life, &notices, speaks_at));
    }
    std::process::exit(1)
}

fn serve(mut stream: TcpStream, life: &Life, notices: &Notices, speaks_at: Instant) {
    let report = |report: Report| println!("{}", report.encode());
    if life.slots.is_limited() {
        // The connection may have ended.
        let _ = stream.set_read_timeout(Some(IDLE_TIME));
    }
    while let Some(head) = read_head(&mut stream) {
        if asks_for_report(&head) {
            thread::sleep(speaks_at.saturating_duration_since(Instant::now()));
            environment::report(&mut stream, life.born);
            continue;
        }
        if let Some(early) = Early::of(&head)
            && is_for(life, &head)
            && bad_part(&head).is_none()
        {
            if !answer_early(early, (life, notices), &head, &mut stream, &report) {
                return;
            }
            continue;
        }
        if !read_upload(&head, &[], &mut stream, &report) {
            return;
        }
        if let Some(part) = bad_part(&head) {
            report(Report::Crash {
                part,
                runner: life.number,
            });
            std::process::exit(CRASH_CODE);
        }
        if !answer(life, notices, &head, &mut stream, &report) {
            return;
        }
    }
}

fn parse<T: FromStr>(text: impl AsRef<str>) -> T {
    let value = text.as_ref().parse().ok();
    value.expect("an argument of the soak")
}
