package amrcommand

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"go.yaml.in/yaml/v3"
)

// print writes the view as YAML, JSON or a table, as the output flag asks. For a
// table, it calls table, which separates the cells of a row by tabs, and then aligns
// the columns.
func (o *options) print(view any, table func(io.Writer)) error {
	data, err := json.MarshalIndent(view, "", "  ")
	if err != nil {
		return err
	}
	switch o.output {
	case "json":
		_, err = fmt.Fprintf(o.streams.Out, "%s\n", data)
		return err
	case "yaml":
		return o.printYAML(data)
	default:
		w := tabwriter.NewWriter(o.streams.Out, 0, 8, 2, ' ', 0)
		table(w)
		return w.Flush()
	}
}

// checkOutput returns a usageError if the output format is not known.
func (o *options) checkOutput() error {
	switch o.output {
	case "table", "yaml", "json":
		return nil
	default:
		return usageError{fmt.Errorf("%q is not an output format; use table, yaml or json", o.output)}
	}
}

// printYAML converts JSON to YAML and writes it. The keys keep their order, and the
// names of the keys are those of the json tags.
func (o *options) printYAML(data []byte) error {
	var node yaml.Node
	if err := yaml.Unmarshal(data, &node); err != nil {
		return err
	}
	blockStyle(&node)
	encoder := yaml.NewEncoder(o.streams.Out)
	encoder.SetIndent(2)
	return encoder.Encode(&node)
}

// blockStyle sets the block style for the node and all nodes below it. Decoded JSON
// would otherwise be written in flow style.
func blockStyle(node *yaml.Node) {
	node.Style = 0
	for _, child := range node.Content {
		blockStyle(child)
	}
}
