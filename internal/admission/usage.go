package admission

const (
	// bucketCount is the number of buckets of a sliding window.
	bucketCount       = 8
	quarterCount      = 4
	bucketsPerQuarter = bucketCount / quarterCount
	// recentBuckets are those of the last half of a window. An account that was refused in all of them may be underserved.
	recentBuckets = 2 * bucketsPerQuarter
	// minUnreadShare is the part of the demand of an account that a daemon refuses unread from which on it counts as too busy for it.
	minUnreadShare = 0.5
)

// Usage is what an account demanded and received over the window, in tokens.
type Usage struct {
	Demand   float64
	Admitted float64
	// Quarters are the parts of Admitted received in each quarter of the window, the newest first.
	Quarters [quarterCount]float64
	// UnmetBuckets has bit i set if the account was refused in the bucket i before the newest.
	UnmetBuckets uint8
}

// Plus returns the sum of the usage of an account at different daemons.
func (u Usage) Plus(other Usage) Usage {
	u.Demand += other.Demand
	u.Admitted += other.Admitted
	for i := range u.Quarters {
		u.Quarters[i] += other.Quarters[i]
	}
	u.UnmetBuckets |= other.UnmetBuckets
	return u
}

// unmetQuarters returns the number of quarters of the window, counted back from now, in each of
// which the account was refused.
func (u Usage) unmetQuarters() int {
	const quarterMask = 1<<bucketsPerQuarter - 1
	quarters := 0
	for quarters < quarterCount && u.UnmetBuckets>>(quarters*bucketsPerQuarter)&quarterMask != 0 {
		quarters++
	}
	return quarters
}

// rate returns the tokens per window that the account receives. For an account that was refused
// since less than a window it is taken over that time only: service is compared while accounts
// compete (start-time fair queueing, Goyal et al. 1996). What they received before, or did not ask
// for, counts for nothing.
func (u Usage) rate() float64 {
	quarters := u.unmetQuarters()
	if quarters == 0 || quarters == quarterCount {
		return u.Admitted
	}
	sum := 0.0
	for _, admitted := range u.Quarters[:quarters] {
		sum += admitted
	}
	return sum * quarterCount / float64(quarters)
}

// underserved reports whether the account was refused for half a window or longer, receives less
// than satisfiedShare of its demand, and the guaranteed level is not enough for half of it.
func (u Usage) underserved(guaranteed float64) bool {
	return u.unmetQuarters() >= 2 && u.Demand > 2*guaranteed && u.Admitted < satisfiedShare*u.Demand
}

// usageRing holds the usage of one account at this daemon in a ring of buckets.
type usageRing struct {
	buckets [bucketCount]usageBucket
	index   int64 // of the newest bucket
}

// usageBucket is the usage of an account within one part of the window, in tokens.
type usageBucket struct {
	demand, admitted float64
	unread           float64 // part of demand that was refused unread
}

// bucketAt advances the ring to the bucket of the index, clears the buckets that have left the
// window, and returns the newest one.
func (r *usageRing) bucketAt(index int64) *usageBucket {
	if index-r.index >= bucketCount {
		*r = usageRing{index: index}
	}
	for r.index < index {
		r.index++
		r.buckets[r.index%bucketCount] = usageBucket{}
	}
	return &r.buckets[r.index%bucketCount]
}

// bucketBefore returns the bucket before the newest one, which has the index.
func (r *usageRing) bucketBefore(index int64) *usageBucket {
	return &r.buckets[(index-1+bucketCount)%bucketCount]
}

// sum advances the ring to the index and returns the usage over the window. While the daemon is too busy to read most of the requests
// of the account, only the last recentBuckets count as unmet: what the account received before the daemon was so busy is not
// compared with what others receive since.
func (r *usageRing) sum(index int64) Usage {
	var usage Usage
	recentDemand, recentUnread := 0.0, 0.0
	r.bucketAt(index)
	for i, bucket := range r.buckets {
		usage.Demand += bucket.demand
		usage.Admitted += bucket.admitted
		age := ((index-int64(i))%bucketCount + bucketCount) % bucketCount
		usage.Quarters[age/bucketsPerQuarter] += bucket.admitted
		if bucket.demand > bucket.admitted {
			usage.UnmetBuckets |= 1 << age
		}
		if age < recentBuckets {
			recentDemand += bucket.demand
			recentUnread += bucket.unread
		}
	}
	if recentUnread > minUnreadShare*recentDemand {
		usage.UnmetBuckets &= 1<<recentBuckets - 1
	}
	return usage
}
