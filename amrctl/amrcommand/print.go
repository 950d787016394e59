package amrcommand

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"go.yaml.in/yaml/v3"
)

// print writes the view as YAML or JSON, or the table.
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

func (o *options) checkOutput() error {
	switch o.output {
	case "table", "yaml", "json":
		return nil
	default:
		return usageError{fmt.Errorf("output %q is unknown; write table, yaml or json", o.output)}
	}
}

// printYAML writes JSON as YAML and keeps the order of the keys.
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

func blockStyle(node *yaml.Node) {
	node.Style = 0
	for _, child := range node.Content {
		blockStyle(child)
	}
}
