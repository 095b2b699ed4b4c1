package store

// Versions are counted by the store, and its count goes back when the store comes back from a copy of some
// seconds before: versions are then given out again, with another content. The store tells so by its era,
// which rises each time. A version of a Row, or of a reading, is therefore its era and its count in one
// number, so that what is newer is higher throughout: counts of two eras are never compared.

// eraShift is the number of bits of a version that are the count.
const eraShift = 40

// VersionOf returns the version of a count in an era. The count 0 stands for no row.
func VersionOf(era, count uint64) uint64 { return era<<eraShift | count }

// EraOf returns the era that a version was given out in.
func EraOf(version uint64) uint64 { return version >> eraShift }

// CountOf returns the store's own count of a version.
func CountOf(version uint64) uint64 { return version & (1<<eraShift - 1) }
