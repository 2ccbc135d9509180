package ticket

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"

	"ibisfold.example/core/document"
)

// issues returns the inconsistencies of a state in a deterministic order.
func issues(s *State) []issue {
	l := targetIssues(s)
	l = append(l, serviceIssues(s)...)

	return append(l, addressIssues(s)...)
}

// liveNames returns the sorted names of all objects that are not tombstones.
func liveNames[T any](m map[string]Object[T]) []string {
	return slices.DeleteFunc(slices.Sorted(maps.Keys(m)), func(n string) bool {
		return m[n].Removed
	})
}

// targetIssues reports targets whose zone or service does not exist, and agent
// addresses with two targets.
func targetIssues(s *State) []issue {
	l := []issue{}
	for _, n := range liveNames(s.Targets) {
		v := s.Targets[n].Value
		if !isLive(s.Zones, v.Zone) {
			l = append(l, targetIssue(n, "Zone", v.Zone, document.CodeUnknownObject,
				fmt.Sprintf("zone %q of target %q is not declared by this or an earlier ticket", v.Zone, n)))
		}
		if !isLive(s.Services, v.Service) {
			l = append(l, targetIssue(n, "Service", v.Service, document.CodeUnknownObject,
				fmt.Sprintf("service %q of target %q is unknown", v.Service, n)))
		}
	}

	return append(l, agentIssues(s)...)
}

func targetIssue(name, field, detail string, code document.Code, reason string) issue {
	return issue{
		key: issueKey{
			kind:   "Target",
			name:   name,
			field:  field,
			detail: detail,
		},
		code:   code,
		reason: reason,
	}
}

// agentIssues reports agent addresses with two targets. The issue is attributed to
// the target with the higher version.
func agentIssues(s *State) []issue {
	l := []issue{}
	owners := map[netip.AddrPort]string{}
	for _, n := range liveNamesByVersion(s.Targets) {
		a := s.Targets[n].Value.Agent
		if owner, ok := owners[a]; ok {
			l = append(l, targetIssue(n, "Agent", owner, document.CodeAddressTaken,
				fmt.Sprintf("agent address %v is already used by target %q", a, owner)))

			continue
		}
		owners[a] = n
	}

	return l
}

// liveNamesByVersion returns the names of all objects that are not tombstones, in
// ascending order of their versions.
func liveNamesByVersion[T any](m map[string]Object[T]) []string {
	l := liveNames(m)
	slices.SortStableFunc(l, func(a, b string) int {
		return m[a].Version.compare(m[b].Version)
	})

	return l
}

// serviceIssues reports services without a target in service.
func serviceIssues(s *State) []issue {
	serving := map[string]bool{}
	for _, n := range liveNames(s.Targets) {
		v := s.Targets[n].Value
		if v.State != Draining && isLive(s.Zones, v.Zone) && s.Zones[v.Zone].Value.InService {
			serving[v.Service] = true
		}
	}

	l := []issue{}
	for _, n := range liveNames(s.Services) {
		if serving[n] {
			continue
		}
		l = append(l, issue{
			key: issueKey{
				kind: "Service",
				name: n,
			},
			code:   document.CodeNoTarget,
			reason: fmt.Sprintf("service %q has no target in service", n),
		})
	}

	return l
}

// addressIssues reports service addresses with two owners. The issue is attributed
// to the service with the higher version, although that service gets the address.
func addressIssues(s *State) []issue {
	l := []issue{}
	owners := map[netip.AddrPort]string{}
	for _, n := range liveNamesByVersion(s.Services) {
		for _, a := range s.Services[n].Value.Addresses {
			owner, ok := owners[a]
			if !ok {
				owners[a] = n

				continue
			}
			l = append(l, issue{
				key: issueKey{
					kind:   "Service",
					name:   n,
					detail: a.String() + owner,
				},
				code:    document.CodeAddressTaken,
				reason:  fmt.Sprintf("address %v is already owned by service %q", a, owner),
				address: a,
			})
		}
	}

	return l
}
