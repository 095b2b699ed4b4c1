//go:build race

package instance_test

// raceSlowdown is how many times longer code may take under the race detector than without it.
const raceSlowdown = 8
