// What docs/measurements/policy.md rests on: ternpick-sim fleet run simulation/plans/fleet-hundred.cue --seeds 100 --beside 5
name:         "fleet-hundred"
seconds:      14
change_every: 700ms
fault_every:  1s
