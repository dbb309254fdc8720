package authority

import "slices"

// WitnessConfig is the witness set of a shard in one epoch. It is immutable.
type WitnessConfig struct {
	Epoch uint64
	// Witnesses are ordered by rank. The first is the preferred holder.
	Witnesses []Member
	// Previous contains the witness sets of earlier epochs that are not yet
	// known to be sealed, oldest first. It has more than one set only if
	// another witness was lost while a change of witnesses was in progress.
	Previous [][]Member
}

// Majority returns the size of a majority of n members.
func Majority(n int) int {
	return n/2 + 1
}

// Rank returns the position of i among the witnesses, or -1.
func (c WitnessConfig) Rank(i Instance) int {
	return slices.IndexFunc(c.Witnesses, func(m Member) bool { return m.Instance == i })
}

func (c WitnessConfig) Equal(other WitnessConfig) bool {
	return c.Epoch == other.Epoch &&
		slices.Equal(c.Witnesses, other.Witnesses) &&
		slices.EqualFunc(c.Previous, other.Previous, slices.Equal)
}

// Members returns the witnesses and the members of the previous sets without
// duplicates.
func (c WitnessConfig) Members() []Member {
	members := slices.Clone(c.Witnesses)
	for _, set := range c.Previous {
		for _, m := range set {
			if !containsInstance(members, m.Instance) {
				members = append(members, m)
			}
		}
	}
	return members
}

// Next returns the configuration of the next epoch with other witnesses. The
// current witnesses become a previous set, so that their promises count until
// the set is sealed.
func (c WitnessConfig) Next(witnesses []Member) WitnessConfig {
	next := WitnessConfig{Epoch: c.Epoch + 1, Witnesses: witnesses, Previous: slices.Clone(c.Previous)}
	if len(c.Witnesses) > 0 {
		next.Previous = append(next.Previous, c.Witnesses)
	}
	return next
}

// WithoutPrevious returns the configuration without its previous sets.
func (c WitnessConfig) WithoutPrevious() WitnessConfig {
	return WitnessConfig{Epoch: c.Epoch, Witnesses: c.Witnesses}
}
