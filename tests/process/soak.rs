//! A short soak of gateway processes.

use std::process::Command;

use crate::util::run_folder;

/// Seeds that are played in CI.
const SEEDS: [u64; 2] = [1, 2];

/// Length of each soak in seconds.
const SECONDS: u64 = 30;

/// Plays a soak with a seed; returns its report, which names the broken promises.
fn play(seed: u64) -> (bool, String) {
    let folder = run_folder(&format!("soak-{seed}"));
    let output = Command::new(env!("CARGO_BIN_EXE_cardamomshore"))
        .args(["soak", "--seed", &seed.to_string(), "--seconds", &SECONDS.to_string()])
        .args(["--gateways", "4", "--engines", "5", "--folder"])
        .arg(folder)
        .output()
        .expect("expected the soak to start");
    let text = [output.stdout, output.stderr].concat();
    (output.status.success(), String::from_utf8_lossy(&text).into_owned())
}

#[test]
fn soak_seeds_keep_promises() {
    let threads = SEEDS.map(|seed| std::thread::spawn(move || play(seed)));
    for thread in threads {
        let (kept, report) = thread.join().expect("expected the soak to end");
        assert!(kept, "{report}");
        assert!(report.contains("broken=0"), "{report}");
    }
}
