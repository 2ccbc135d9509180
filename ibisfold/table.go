package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// printTable writes one line for each process.
func printTable(w io.Writer, answers []answer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "ADDRESS\tNAME\tROLE\tZONE\tTICKET\tFLOOR\tDIGEST\tCONFIRMED\tREADER\tPEERS\tSUSPECTS\tCONFIG READS\tFAILED")
	for _, a := range answers {
		s := a.Status
		if s == nil {
			fmt.Fprintf(t, "%v\tno answer: %s\n", a.Address, oneLine(a.Error))

			continue
		}
		fmt.Fprintf(t, "%v\t%s\t%s\t%s\t%d\t%d\t%s\t%s\t%s\t%d\t%d\t%d\t%d\n",
			a.Address, s.Name, s.Role, s.Zone, s.Ticket, s.Floor, s.Digest, yesNo(s.Confirmed), yesNo(s.Reader),
			len(s.Peers), len(s.Suspects), s.ConfigReads, s.ConfigFailures)
	}
	// A failed write shows in the exit status of the program that reads the output.
	_ = t.Flush()
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}

	return "no"
}

func oneLine(s string) string {
	return strings.Join(strings.Fields(s), " ")
}
