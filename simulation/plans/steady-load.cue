// The real program on loopback, steady: ternpick-sim load simulation/plans/steady-load.cue
package plans

name: "steady"
rate: 500
seconds: 6
