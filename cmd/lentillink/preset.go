package main

import (
	"errors"
	"fmt"
	"os"
	"os/user"
	"text/tabwriter"
	"time"

	"lentillink.example/lentillink/caller"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/preset"
)

// Bounds of the interval at which the fleet's status is polled until a change is
// in force. The interval doubles, because each poll reaches every VM.
const (
	confirmInterval    = 50 * time.Millisecond
	maxConfirmInterval = 800 * time.Millisecond
)

type presetListCommand struct {
	vmFlags
	jsonFlag
}

// Execute lists the presets and marks the one in force.
func (c *presetListCommand) Execute([]string) error {
	rec, err := c.client().Presets()
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(rec)
	}
	return printTable(os.Stdout, func(tw *tabwriter.Writer) {
		for _, p := range rec.Presets {
			mark := ""
			if p.Name == rec.InForce {
				mark = fmt.Sprintf("in force, revision %d", rec.Revision)
			}
			_, _ = fmt.Fprintf(tw, "%s\t%s\t%s\n", p.Name, p.Description, mark)
		}
	})
}

type presetNameArgs struct {
	Name string `positional-arg-name:"NAME" description:"preset; the one in force if absent"`
}

// findPreset returns the named preset, or the one in force if name is empty.
func findPreset(c *caller.Client, name string) (preset.Preset, preset.Record, error) {
	rec, err := c.Presets()
	if err != nil {
		return preset.Preset{}, rec, err
	}
	if name == "" {
		name = rec.InForce
	}
	p, ok := rec.FindPreset(name)
	if !ok {
		return p, rec, &exitError{code: exitUsage, err: fmt.Errorf("NAME: preset %q does not exist; see lentillink preset list", name)}
	}
	return p, rec, nil
}

type presetShowCommand struct {
	vmFlags
	Args presetNameArgs `positional-args:"true"`
}

// Execute prints the JSON document of a preset.
func (c *presetShowCommand) Execute([]string) error {
	p, _, err := findPreset(c.client(), c.Args.Name)
	if err != nil {
		return err
	}
	return printJSON(p)
}

type presetExplainCommand struct {
	vmFlags
	Args presetNameArgs `positional-args:"true"`
}

// Execute prints in sentences what each rank gets under a preset.
func (c *presetExplainCommand) Execute([]string) error {
	p, _, err := findPreset(c.client(), c.Args.Name)
	if err != nil {
		return err
	}
	for _, sentence := range preset.Explain(p) {
		fmt.Println(sentence)
	}
	return nil
}

type presetDiffCommand struct {
	vmFlags
	jsonFlag
	Args struct {
		From string `positional-arg-name:"FROM"`
		To   string `positional-arg-name:"TO"`
	} `positional-args:"true" required:"true"`
}

// Execute lists the fields in which two presets differ.
func (c *presetDiffCommand) Execute([]string) error {
	client := c.client()
	from, _, err := findPreset(client, c.Args.From)
	if err != nil {
		return err
	}
	to, _, err := findPreset(client, c.Args.To)
	if err != nil {
		return err
	}
	list := preset.DiffPresets(from, to)
	if c.JSON {
		return printJSON(list)
	}
	return printTable(os.Stdout, func(tw *tabwriter.Writer) {
		for _, d := range list {
			_, _ = fmt.Fprintf(tw, "%s\t%s\t-> %s\n", d.Path, d.Before, d.After)
		}
	})
}

type presetHistoryCommand struct {
	vmFlags
	jsonFlag
}

// Execute prints who changed what, when and why, newest first.
func (c *presetHistoryCommand) Execute([]string) error {
	rec, err := c.client().Presets()
	if err != nil {
		return err
	}
	all := append([]preset.AppliedChange{rec.LatestChange()}, rec.History...)
	if c.JSON {
		return printJSON(all)
	}
	return printTable(os.Stdout, func(tw *tabwriter.Writer) {
		_, _ = fmt.Fprintln(tw, "REVISION\tWHEN (UTC)\tIN FORCE\tBY\tWHY")
		for _, p := range all {
			at := "-" // the built-in presets have no time of change
			if p.At != 0 {
				at = time.UnixMilli(int64(p.At)).UTC().Format(time.DateTime)
			}
			_, _ = fmt.Fprintf(tw, "%d\t%s\t%s\t%s\t%s\n", p.Revision, at, p.InForce, p.Author, p.Reason)
		}
	})
}

// changeFlags are common to the commands that change the preset record.
type changeFlags struct {
	vmFlags
	Reason string       `long:"reason" required:"true" description:"reason for the change, shown in the history"`
	Author string       `long:"author" env:"LENTILLINK_AUTHOR" description:"author of the change; the user name if absent"`
	WaitMs clock.Millis `long:"wait-ms" default:"4000" description:"how long to wait until every VM has confirmed"`
}

type presetSwitchCommand struct {
	changeFlags
	Args struct {
		Name string `positional-arg-name:"NAME" description:"preset to put in force"`
	} `positional-args:"true" required:"true"`
}

// Execute puts another preset in force and reports which VMs confirmed.
func (c *presetSwitchCommand) Execute([]string) error {
	return c.apply(preset.Change{SwitchTo: c.Args.Name})
}

type presetEditCommand struct {
	changeFlags
	Args struct {
		File string `positional-arg-name:"FILE" description:"JSON document of the preset, as printed by preset show"`
	} `positional-args:"true" required:"true"`
}

// Execute replaces or adds a preset. An invalid document changes nothing.
func (c *presetEditCommand) Execute([]string) error {
	data, err := os.ReadFile(c.Args.File)
	if err != nil {
		return &exitError{code: exitUsage, err: err}
	}
	p, err := preset.DecodePreset(data)
	if err != nil {
		return &exitError{code: exitUsage, err: err}
	}
	return c.apply(preset.Change{Preset: &p})
}

// apply sends a change that is based on the current record, so that a concurrent
// change by another operator is not overwritten unnoticed.
func (f *changeFlags) apply(change preset.Change) error {
	client := f.client()
	rec, err := client.Presets()
	if err != nil {
		return err
	}
	change.ID, change.Author, change.Reason, change.BaseRevision = newID(), f.author(), f.Reason, rec.Revision
	start := time.Now()
	doc, err := client.Change(change)
	if err != nil {
		return &exitError{code: exitUnconfirmed, err: err}
	}
	switch doc.Accepted {
	case preset.Accepted:
		fmt.Printf("accepted: revision %d, preset %s in force\n", doc.Revision, doc.InForce)
		if doc.Superseded {
			fmt.Println("a later change has already replaced it; see lentillink preset history")
		}
		return f.awaitConfirmation(client, doc.Revision, start)
	case preset.NotAccepted:
		return &exitError{code: exitUnconfirmed, err: fmt.Errorf("not accepted: %s", doc.Error)}
	}
	return &exitError{code: exitUnconfirmed, err: fmt.Errorf(
		"not known whether it was accepted: %s; look for change %s in lentillink preset history", doc.Error, change.ID)}
}

func (f *changeFlags) author() string {
	if f.Author != "" {
		return f.Author
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// awaitConfirmation waits until the revision is in force on every VM, or until
// WaitMs has passed.
func (f *changeFlags) awaitConfirmation(client *caller.Client, revision uint64, start time.Time) error {
	lastPrinted := -1
	interval := confirmInterval
	for {
		doc, err := client.FleetStatus()
		if err != nil {
			return &exitError{code: exitUnconfirmed, err: err}
		}
		confirmed, missing := 0, append([]string{}, doc.Unresponsive...)
		for _, v := range doc.VMs {
			if v.Revision >= revision {
				confirmed++
				continue
			}
			missing = append(missing, v.VM)
		}
		elapsed := time.Since(start)
		if len(missing) == 0 || elapsed >= f.WaitMs.Duration() {
			fmt.Printf("in force on %d VMs after %d ms\n", confirmed, elapsed.Milliseconds())
			for _, id := range missing {
				fmt.Println("not confirmed:", id)
			}
			if len(missing) > 0 {
				return &exitError{code: exitUnconfirmed, err: errors.New("some VMs have not confirmed the change; they apply it when they are reachable")}
			}
			return nil
		}
		if confirmed != lastPrinted { // prints changes only, as standard error may be a file
			fmt.Fprintf(os.Stderr, "in force on %d VMs, waiting for %d\n", confirmed, len(missing))
			lastPrinted = confirmed
		}
		time.Sleep(interval)
		interval = min(2*interval, maxConfirmInterval)
	}
}
