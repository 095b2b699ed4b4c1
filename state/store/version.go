package store

// The store assigns versions from a counter. When the store is restored from a backup that is a few
// seconds old, the counter decreases and assigns the same counts to other content. The store reports
// this by its era, which increases with each restore. The store version of a row or of a read therefore
// combines the era and the count in one number: newer data always has a higher version, and the counts
// of two eras are never compared.

// eraShift is the number of low bits of a version that hold the count.
const eraShift = 40

// VersionOf returns the version for a count in an era. The count 0 means that there is no row.
func VersionOf(era, count uint64) uint64 { return era<<eraShift | count }

// EraOf returns the era in which a version was assigned.
func EraOf(version uint64) uint64 { return version >> eraShift }

// CountOf returns the store's count in a version.
func CountOf(version uint64) uint64 { return version & (1<<eraShift - 1) }
