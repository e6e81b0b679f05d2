//! Plays a plan: every world, load, policy and seed of it, spread over the cores. Each day is kept as a file named by all
//! that it follows from, so a run that was cut off goes on where it was, and the order of days changes nothing.

use std::hash::Hasher;
use std::path::{Path, PathBuf};
use std::sync::OnceLock;

use indicatif::{ProgressBar, ProgressStyle};
use rayon::prelude::*;
use seahash::SeaHasher;
use serde::{Deserialize, Serialize};

use crate::plan::{Plan, Who, World};
use crate::sim::{Day, Sim};

/// Days of another form are played anew.
const FORM: u32 = 3;

#[derive(Debug, thiserror::Error)]
pub enum Failed {
    #[error("{0}")]
    Kept(#[from] ternpick_store::StoreError),
    #[error("{path}: {error}")]
    Folder { path: String, error: std::io::Error },
    #[error("{path} is no folder of results: run a plan with --out first")]
    Nothing { path: String },
    #[error("{path} cannot be read: {error}")]
    Unread {
        path: String,
        error: serde_json::Error,
    },
}

/// One day that is to be played.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Run {
    pub world: World,
    pub policy: Who,
    pub seed: u64,
    pub load: f64,
}

/// What a day's file holds.
#[derive(Serialize, Deserialize)]
struct Kept {
    form: u32,
    day: Day,
}

/// The digest of this very program: another build may play another day.
fn program() -> u64 {
    static DIGEST: OnceLock<u64> = OnceLock::new();
    *DIGEST.get_or_init(|| {
        let bytes = std::env::current_exe().and_then(std::fs::read);
        bytes.map_or(0, |bytes| seahash::hash(&bytes))
    })
}

impl Run {
    pub fn play(&self) -> Day {
        Sim::play(&self.world, self.policy, self.seed, self.load)
    }

    /// By all that the day follows from: another world, another build of the program, another file.
    fn file(&self) -> String {
        let mut hash = SeaHasher::new();
        hash.write(serde_json::to_string(self).unwrap_or_default().as_bytes());
        hash.write_u64(program());
        hash.write_u32(FORM);
        format!(
            "{}-{}-{:016x}.json",
            self.world.name,
            self.policy,
            hash.finish()
        )
    }
}

/// All days of a plan, in its order.
pub fn runs(plan: &Plan) -> Vec<Run> {
    let mut runs = Vec::new();
    for world in &plan.worlds {
        for load in &plan.loads {
            for policy in &plan.policies {
                for seed in plan.first_seed..plan.first_seed + plan.seeds {
                    runs.push(Run {
                        world: world.clone(),
                        policy: *policy,
                        seed,
                        load: *load,
                    });
                }
            }
        }
    }
    runs
}

/// A bar on a terminal, nothing in a pipe.
pub fn progress(count: usize, word: &'static str) -> ProgressBar {
    let bar = ProgressBar::new(count as u64).with_message(word);
    let style = ProgressStyle::with_template("{msg} {wide_bar} {pos}/{len} {eta}");
    bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    bar
}

fn folder(path: &Path) -> Result<PathBuf, Failed> {
    let days = path.join("days");
    std::fs::create_dir_all(&days).map_err(|error| Failed::Folder {
        path: days.display().to_string(),
        error,
    })?;
    Ok(days)
}

/// A day that was played before, if its file is whole.
fn kept(path: &Path) -> Option<Day> {
    let kept: Kept = serde_json::from_slice(&std::fs::read(path).ok()?).ok()?;
    (kept.form == FORM).then_some(kept.day)
}

/// Plays what has not been played yet, and tells how many that were. Days come back in the plan's order.
pub fn run(plan: &Plan, out: Option<&Path>) -> Result<(Vec<Day>, usize), Failed> {
    let days = out.map(folder).transpose()?;
    let runs = runs(plan);
    let bar = progress(runs.len(), "days");
    let played = std::sync::atomic::AtomicUsize::new(0);
    let result: Result<Vec<Day>, Failed> = runs
        .par_iter()
        .map(|run| {
            let path = days.as_ref().map(|days| days.join(run.file()));
            let before = path.as_ref().and_then(|path| kept(path));
            let day = match (before, &path) {
                (Some(day), _) => day,
                (None, path) => {
                    played.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                    let day = run.play();
                    if let Some(path) = path {
                        let text = serde_json::to_vec(&Kept {
                            form: FORM,
                            day: day.clone(),
                        })
                        .unwrap_or_default();
                        ternpick_store::replace_file(path, &text)?;
                    }
                    day
                }
            };
            bar.inc(1);
            Ok(day)
        })
        .collect();
    bar.finish_and_clear();
    let result = result?;
    if let Some(out) = out {
        let text = serde_json::to_vec_pretty(&(plan, &result)).unwrap_or_default();
        ternpick_store::replace_file(&out.join("results.json"), &text)?;
    }
    Ok((result, played.into_inner()))
}

/// The plan and the days of a folder of results.
pub fn read(out: &Path) -> Result<(Plan, Vec<Day>), Failed> {
    let path = out.join("results.json");
    let text = std::fs::read(&path).map_err(|_| Failed::Nothing {
        path: out.display().to_string(),
    })?;
    serde_json::from_slice(&text).map_err(|error| Failed::Unread {
        path: path.display().to_string(),
        error,
    })
}
