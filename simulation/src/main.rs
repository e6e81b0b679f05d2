//! `ternpick-sim`: days in virtual time, from a terminal or a script.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use serde_json::json;
use ternpick_simulation::check::Rule;
use ternpick_simulation::compare::{compare, Row};
use ternpick_simulation::experiment::{self, Run};
use ternpick_simulation::fleet;
use ternpick_simulation::hunt::{hunt, look, shrink, Find};
use ternpick_simulation::load::{self, Load, Outcome};
use ternpick_simulation::plan::{Kind, Plan, Who};
use ternpick_simulation::report;
use ternpick_simulation::sim::Day;

/// Plays plans of worlds in virtual time, with the program's own decisions inside. All figures are simulated.
#[derive(Parser)]
#[command(name = "ternpick-sim", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
    /// Threads; as many as there are cores if left out
    #[arg(long, global = true)]
    threads: Option<usize>,
    /// Prints JSON, for scripts
    #[arg(long, global = true)]
    json: bool,
}

#[derive(Subcommand)]
enum Command {
    /// Reads a plan and tells its days and what its worlds can do
    Check { plan: PathBuf },
    /// Plays a plan; what was played before is not played again
    Run {
        plan: PathBuf,
        /// The folder for days, tables and charts
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// Compares two policies of one folder of results, or the same policy of two folders
    Compare {
        out: PathBuf,
        /// Against these results instead: of another version of the program, or of other settings
        #[arg(long)]
        with: Option<PathBuf>,
        #[arg(long, default_value_t = Who::Design)]
        first: Who,
        #[arg(long, default_value_t = Who::Design)]
        second: Who,
    },
    /// Searches the neighbourhood of a plan's worlds for the worst days
    Hunt {
        plan: PathBuf,
        /// Rounds of sixteen days
        #[arg(long, default_value_t = 10)]
        rounds: usize,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Rules whose breaches are known, and passed over: cold-spared, one-answer, ...
        #[arg(long, value_delimiter = ',')]
        known: Vec<Rule>,
        /// Kinds of trouble that are left out: deadly, burst, ...
        #[arg(long, value_delimiter = ',')]
        without: Vec<Kind>,
        /// The folder for what is found
        #[arg(long)]
        out: PathBuf,
    },
    /// Cuts a find down to the least that still shows it
    Shrink {
        find: PathBuf,
        #[arg(long)]
        to: PathBuf,
        /// Days that may be played
        #[arg(long, default_value_t = 400)]
        days: usize,
    },
    /// Plays a find again, and tells whether it is as it was
    Replay { find: PathBuf },
    /// Writes tables, charts and a page of a folder of results
    Report {
        out: PathBuf,
        /// Charts as PNG, beside SVG
        #[arg(long)]
        png: bool,
    },
    /// Puts the real program under load on loopback, among stand-ins
    Load {
        /// A file of one load
        load: PathBuf,
        /// The program; the one beside this if left out
        #[arg(long)]
        program: Option<PathBuf>,
        /// Lookups a second, instead of the file's
        #[arg(long)]
        rate: Option<f64>,
        /// Parts a lookup, instead of the file's
        #[arg(long)]
        parts: Option<usize>,
    },
    /// Breaks a fleet of real processes on loopback, and judges by what was seen from outside
    #[command(subcommand)]
    Fleet(FleetCommand),
}

#[derive(Subcommand)]
enum FleetCommand {
    /// Plays a plan under one seed after the other, or a schedule again
    Run {
        /// A plan (.cue), or a schedule (.json) as a run wrote it down
        plan: PathBuf,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// So many seeds, from the first on
        #[arg(long, default_value_t = 1)]
        seeds: u64,
        /// Keeps the routers' files on the disk, not in memory
        #[arg(long)]
        disk: bool,
        /// Runs side by side
        #[arg(long, default_value_t = 1)]
        beside: usize,
        /// The folder for histories, schedules and outcomes
        #[arg(long)]
        out: PathBuf,
        /// The program; the one beside this if left out
        #[arg(long)]
        program: Option<PathBuf>,
    },
    /// Reads histories again, and tells whether they keep the rules
    Check { histories: Vec<PathBuf> },
    /// Cuts a schedule down to the least that still shows a bad outcome
    Shrink {
        schedule: PathBuf,
        #[arg(long)]
        to: PathBuf,
        /// Runs that may be played
        #[arg(long, default_value_t = 40)]
        most: usize,
        #[arg(long)]
        program: Option<PathBuf>,
    },
    /// Takes every machine of a fleet of any size out and back once, in virtual time, with a storm in the middle; simulated
    WorksSize {
        #[arg(long, default_value_t = 1200)]
        nodes: usize,
        #[arg(long, default_value_t = 50)]
        routers: usize,
        #[arg(long, default_value_t = 3)]
        holders: usize,
        /// Seconds of work on one machine
        #[arg(long, default_value_t = 600)]
        work: u64,
        /// The share of machines that the storm strikes; 0: none
        #[arg(long, default_value_t = 0.02)]
        storm: f64,
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Sums up the outcomes of a folder
    Report { out: PathBuf },
    /// Draws the timeline of a work from its history, as SVG
    Timeline {
        history: PathBuf,
        #[arg(long)]
        to: PathBuf,
    },
    /// Plays changes in a fleet of any size in virtual time, with the program's own council; figures are simulated
    Size {
        #[arg(long, default_value_t = 50)]
        routers: usize,
        #[arg(long, default_value_t = 5)]
        voters: usize,
        #[arg(long, default_value_t = 10)]
        changes: usize,
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
}

fn program(given: Option<&Path>) -> Result<PathBuf, String> {
    let own = given.map(Path::to_path_buf).or_else(load::beside);
    own.ok_or_else(|| {
        "the program is not beside this one: build it, or name it with --program".into()
    })
}

/// What a run played under, by number: each from its own schedule.
fn schedules(
    path: &Path,
    seed: u64,
    seeds: u64,
) -> Result<Vec<fleet::Schedule>, Box<dyn std::error::Error>> {
    if path.extension().is_some_and(|of| of == "json") {
        return Ok(vec![serde_json::from_slice(&std::fs::read(path)?)?]);
    }
    let plan = fleet::FleetPlan::read(path)?;
    Ok((seed..seed + seeds).map(|seed| plan.draw(seed)).collect())
}

fn fleet(command: &FleetCommand, json: bool) -> Done {
    match command {
        FleetCommand::Run {
            plan,
            seed,
            seeds,
            disk,
            beside,
            out,
            program: given,
        } => {
            let (program, schedules) =
                (program(given.as_deref())?, schedules(plan, *seed, *seeds)?);
            let next = std::sync::atomic::AtomicUsize::new(0);
            let bad = std::sync::atomic::AtomicUsize::new(0);
            std::thread::scope(|scope| {
                for _ in 0..(*beside).max(1) {
                    let (next, bad, schedules, program) = (&next, &bad, &schedules, &program);
                    scope.spawn(move || {
                        use std::sync::atomic::Ordering::Relaxed;
                        while let Some(schedule) = schedules.get(next.fetch_add(1, Relaxed)) {
                            let folder =
                                out.join(format!("{}-{}", schedule.plan.name, schedule.seed));
                            let line = match fleet::play(schedule, program, &folder, *disk) {
                                Ok(outcome) if json => {
                                    serde_json::to_string(&outcome).unwrap_or_default()
                                }
                                Ok(outcome) => {
                                    bad.fetch_add(usize::from(!outcome.is_good()), Relaxed);
                                    fleet::report::line(&outcome)
                                }
                                Err(error) => {
                                    bad.fetch_add(1, Relaxed);
                                    format!("seed {}: {error}", schedule.seed)
                                }
                            };
                            println!("{line}");
                        }
                    });
                }
            });
            Ok(if bad.into_inner() > 0 {
                ExitCode::from(2)
            } else {
                ExitCode::SUCCESS
            })
        }
        FleetCommand::Check { histories } => {
            let mut code = ExitCode::SUCCESS;
            for path in histories {
                let lines = std::io::BufReader::new(std::fs::File::open(path)?);
                let verdict = ternpick_history::check(lines, ternpick_history::Bounds::default());
                if !matches!(verdict, ternpick_history::Verdict::Accepted(_)) {
                    code = ExitCode::from(2);
                }
                match json {
                    true => println!("{}", serde_json::to_string(&verdict)?),
                    false => println!("{}: {}", path.display(), fleet::report::words(&verdict)),
                }
            }
            Ok(code)
        }
        FleetCommand::Shrink {
            schedule,
            to,
            most,
            program: given,
        } => {
            let of: fleet::Schedule = serde_json::from_slice(&std::fs::read(schedule)?)?;
            let folder = tempfile::tempdir()?;
            let program = program(given.as_deref())?;
            let least = fleet::shrink(&of, &program, folder.path(), *most, &mut |line| {
                eprintln!("{line}")
            })?;
            ternpick_store::replace_file(to, &serde_json::to_vec_pretty(&least)?)?;
            println!("{} of {} steps are left", least.steps.len(), of.steps.len());
            Ok(ExitCode::SUCCESS)
        }
        FleetCommand::Size {
            routers,
            voters,
            changes,
            seed,
        } => {
            let world = fleet::virt::World {
                routers: *routers,
                voters: *voters,
                ..fleet::virt::World::default()
            };
            let of = fleet::virt::size(world, *changes, *seed);
            match json {
                true => println!("{}", serde_json::to_string(&of)?),
                false => println!("{of:#?}"),
            }
            Ok(if of.broken.is_some() {
                ExitCode::from(2)
            } else {
                ExitCode::SUCCESS
            })
        }
        FleetCommand::WorksSize {
            nodes,
            routers,
            holders,
            work,
            storm,
            seed,
        } => {
            let limits = ternpick_maintenance::Limits {
                max_out_share: 0.1,
                ..ternpick_maintenance::Limits::default()
            };
            let (nodes, routers, holders, work) = (*nodes, *routers, (*holders).max(1), *work);
            let site = fleet::works_size::Site {
                nodes,
                routers,
                holders,
                work,
                storm: *storm,
                limits,
                seed: *seed,
            };
            let of = fleet::works_size::play(site);
            match json {
                true => println!("{}", serde_json::to_string(&of)?),
                false => println!("{of:#?}"),
            }
            Ok(if of.breaches > 0 || of.minutes.is_none() {
                ExitCode::from(2)
            } else {
                ExitCode::SUCCESS
            })
        }
        FleetCommand::Timeline { history, to } => {
            let of = fleet::timeline::write(history, to)?;
            println!(
                "{} machines over {:.1} s, {}",
                of.machines.len(),
                of.until,
                to.display()
            );
            Ok(ExitCode::SUCCESS)
        }
        FleetCommand::Report { out } => {
            let outcomes = fleet::report::read(out)?;
            match json {
                true => println!("{}", serde_json::to_string(&fleet::report::sum(&outcomes))?),
                false => println!("{}", fleet::report::table(&outcomes)),
            }
            Ok(if outcomes.iter().all(fleet::Outcome::is_good) {
                ExitCode::SUCCESS
            } else {
                ExitCode::from(2)
            })
        }
    }
}

type Done = Result<ExitCode, Box<dyn std::error::Error>>;

fn main() -> ExitCode {
    let cli = Cli::parse();
    if let Some(threads) = cli.threads {
        if let Err(error) = rayon::ThreadPoolBuilder::new()
            .num_threads(threads)
            .build_global()
        {
            eprintln!("ternpick-sim: {error}");
            return ExitCode::FAILURE;
        }
    }
    match run(&cli) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("ternpick-sim: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(cli: &Cli) -> Done {
    match &cli.command {
        Command::Fleet(command) => fleet(command, cli.json),
        Command::Check { plan } => check(&Plan::read(plan)?, cli.json),
        Command::Run { plan, out } => {
            let plan = Plan::read(plan)?;
            let (days, played) = experiment::run(&plan, out.as_deref())?;
            if let Some(out) = out {
                report::write(&plan, &days, out, false)?;
            }
            match cli.json {
                true => println!("{}", serde_json::to_string(&days)?),
                false => println!(
                    "{}{played} of {} days played anew",
                    report::table(&days),
                    days.len()
                ),
            }
            Ok(broken(&days))
        }
        Command::Compare {
            out,
            with,
            first,
            second,
        } => {
            let (_, days) = experiment::read(out)?;
            let other = with
                .as_deref()
                .map(experiment::read)
                .transpose()?
                .map(|(_, days)| days);
            let of = |days: &[Day], policy: Who| -> Vec<Day> {
                days.iter()
                    .filter(|day| day.policy == policy)
                    .cloned()
                    .collect()
            };
            let (a, b) = (
                of(&days, *first),
                of(other.as_ref().unwrap_or(&days), *second),
            );
            let rows = compare(a.iter(), b.iter());
            if rows.is_empty() {
                return Err(
                    format!("no day was played under both '{first}' and '{second}'").into(),
                );
            }
            match cli.json {
                true => println!("{}", serde_json::to_string(&rows)?),
                false => print!("{}", verdicts(&rows, *first, *second)),
            }
            Ok(ExitCode::SUCCESS)
        }
        Command::Hunt {
            plan,
            rounds,
            seed,
            known,
            without,
            out,
        } => {
            let plan = Plan::read(plan)?;
            let from: Vec<Run> = plan
                .worlds
                .iter()
                .map(|world| Run {
                    world: world.clone(),
                    policy: plan.policies.first().copied().unwrap_or(Who::Design),
                    seed: plan.first_seed,
                    load: plan.loads.first().copied().unwrap_or(1.0),
                })
                .collect();
            std::fs::create_dir_all(out).map_err(|e| format!("{}: {e}", out.display()))?;
            let bar = experiment::progress(*rounds, "rounds");
            let finds = hunt(&from, *rounds, *seed, known, without, |find| {
                bar.inc(1);
                bar.set_message(words(find));
            });
            bar.finish_and_clear();
            for (at, find) in finds.iter().enumerate() {
                let path = out.join(format!("find-{}.json", at + 1));
                keep(find, &path)?;
                println!("{}: {}", path.display(), words(find));
            }
            Ok(ExitCode::SUCCESS)
        }
        Command::Shrink { find, to, days } => {
            let small = shrink(&read(find)?, *days, |find| eprintln!("{}", words(find)));
            keep(&small, to)?;
            println!("{}: {}", to.display(), words(&small));
            Ok(ExitCode::SUCCESS)
        }
        Command::Replay { find } => {
            let was = read(find)?;
            let is = look(&was.run, &was.known);
            let same = is.trace == was.trace;
            match cli.json {
                true => println!("{}", json!({"same": same, "was": was, "is": is})),
                false => println!(
                    "{}; {}",
                    words(&is),
                    if same { "as it was" } else { "not as it was" }
                ),
            }
            Ok(if same {
                ExitCode::SUCCESS
            } else {
                ExitCode::from(2)
            })
        }
        Command::Load {
            load,
            program,
            rate,
            parts,
        } => {
            let mut load = Load::read(load)?;
            (load.rate, load.parts) = (rate.unwrap_or(load.rate), parts.unwrap_or(load.parts));
            let program = program
                .clone()
                .or_else(load::beside)
                .ok_or("there is no 'ternpick' beside this program")?;
            let folder = tempfile::tempdir()?;
            let outcome = load::play(&load, &program, folder.path())?;
            match cli.json {
                true => println!("{}", serde_json::to_string(&outcome)?),
                false => print!("{}", told(&outcome)),
            }
            let lost = outcome.answers.get(&0).copied().unwrap_or(0);
            Ok(if lost == 0 {
                ExitCode::SUCCESS
            } else {
                ExitCode::from(2)
            })
        }
        Command::Report { out, png } => {
            let (plan, days) = experiment::read(out)?;
            let files = report::write(&plan, &days, out, *png)?;
            println!(
                "{} files in {}, begin with report.html",
                files.len(),
                out.display()
            );
            Ok(ExitCode::SUCCESS)
        }
    }
}

/// Exit status 2 where the design broke a rule.
fn broken(days: &[Day]) -> ExitCode {
    let mut code = ExitCode::SUCCESS;
    for day in days
        .iter()
        .filter(|day| day.policy == Who::Design && day.breach_count > 0)
    {
        for breach in day.breaches.iter().take(3) {
            eprintln!(
                "{} seed {} load {}: {:?} at {:.3} s, {}",
                day.world,
                day.seed,
                day.load,
                breach.rule,
                breach.at as f64 / 1e6,
                breach.what
            );
        }
        code = ExitCode::from(2);
    }
    code
}

fn check(plan: &Plan, json: bool) -> Done {
    let days = experiment::runs(plan).len();
    let of: Vec<_> = plan
        .worlds
        .iter()
        .map(|world| {
            let (can, rate) = (world.capacity(), world.clients.rate);
            json!({"world": world.name, "nodes": world.node_count(), "routers": world.routers, "can": can, "rate": rate,
                "busy": rate / can})
        })
        .collect();
    if json {
        println!("{}", json!({"plan": plan.name, "days": days, "worlds": of}));
        return Ok(ExitCode::SUCCESS);
    }
    println!("{}: {days} days", plan.name);
    for world in of {
        println!(
            "{}: {} nodes, {} routers, {:.0} lookups a second of {:.0} that it can do ({:.0}%)",
            world["world"].as_str().unwrap_or_default(),
            world["nodes"],
            world["routers"],
            world["rate"].as_f64().unwrap_or(0.0),
            world["can"].as_f64().unwrap_or(0.0),
            world["busy"].as_f64().unwrap_or(0.0) * 100.0
        );
    }
    Ok(ExitCode::SUCCESS)
}

fn verdicts(rows: &[Row], first: Who, second: Who) -> String {
    let cells = |row: &Row| {
        let range = row.difference.map_or("-".into(), |of| {
            format!("{:+.4} to {:+.4}", of.low, of.high)
        });
        vec![
            row.world.clone(),
            format!("{:.2}", row.load),
            row.figure.to_owned(),
            format!("{:.4}", row.first),
            format!("{:.4}", row.second),
            range,
            row.verdict.to_string(),
        ]
    };
    let rows: Vec<Vec<String>> = rows.iter().map(cells).collect();
    report::text_table(
        &[
            "world",
            "load",
            "figure",
            &first.to_string(),
            &second.to_string(),
            "difference, 95%",
            "second is",
        ],
        &rows,
    )
}

fn told(of: &Outcome) -> String {
    let heads = [
        "load",
        "parts",
        "a second",
        "answers",
        "again",
        "p50 ms",
        "p99 ms",
        "p99.9 ms",
        "most ms",
        "CPU us",
        "cores",
        "MB",
        "descriptors",
        "parts sent",
        "sent again",
    ];
    let answers: Vec<String> = of
        .answers
        .iter()
        .map(|(status, count)| format!("{status}: {count}"))
        .collect();
    let cells = vec![
        of.load.name.clone(),
        of.load.parts.to_string(),
        format!("{:.0}", of.a_second),
        answers.join(", "),
        of.again.to_string(),
        format!("{:.2}", of.p50_ms),
        format!("{:.2}", of.p99_ms),
        format!("{:.2}", of.p999_ms),
        format!("{:.2}", of.most_ms),
        format!("{:.0}", of.cpu_us),
        format!("{:.2}", of.cpu_share),
        format!("{:.1}", of.memory_mb),
        of.descriptors.to_string(),
        of.parts_sent.to_string(),
        of.parts_again.to_string(),
    ];
    let events: Vec<String> = of.events.iter().map(|line| format!("{line}\n")).collect();
    format!(
        "{}{}",
        report::text_table(&heads, &[cells]),
        events.concat()
    )
}

fn words(find: &Find) -> String {
    let run = &find.run;
    let troubles: Vec<String> = run
        .world
        .troubles
        .iter()
        .map(|of| of.kind.to_string())
        .collect();
    let what = match find.rule {
        Some(rule) => format!("breaks {rule:?}"),
        None => format!("loses {:.3} of the oracle's {:.3}", find.loss, find.oracle),
    };
    format!(
        "{} seed {} load {:.2}, {} s, {} routers, [{}]: {what}",
        run.world.name,
        run.seed,
        run.load,
        run.world.seconds,
        run.world.routers,
        troubles.join(", ")
    )
}

fn keep(find: &Find, path: &Path) -> Result<(), Box<dyn std::error::Error>> {
    ternpick_store::replace_file(path, &serde_json::to_vec_pretty(find)?)?;
    Ok(())
}

fn read(path: &Path) -> Result<Find, Box<dyn std::error::Error>> {
    let text = std::fs::read(path).map_err(|e| format!("{}: {e}", path.display()))?;
    Ok(serde_json::from_slice(&text).map_err(|e| format!("{} is no find: {e}", path.display()))?)
}
