// Seven processes, five of which vote; something breaks all the time. ternpick-sim fleet run simulation/plans/fleet-rough.cue
// --seeds 100 --beside 4 --out DIR; a seed that fails is played again from its schedule.json.
name:         "fleet-rough"
seconds:      20
change_every: 1s
fault_every:  1200ms
