package amrcommand

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"amaranthreach.example/router/gen/operators"
)

// readFiles reads the named files and the YAML files in the named folders and their
// subfolders. The files of a folder are in lexical order.
func readFiles(paths []string) ([]*operators.RecordFile, error) {
	if len(paths) == 0 {
		return nil, usageError{errors.New("no file or folder given; set -f to a file or folder")}
	}
	var files []*operators.RecordFile
	for _, path := range paths {
		err := filepath.WalkDir(path, func(name string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || (name != path && !isYAML(name)) {
				return err
			}
			content, err := os.ReadFile(name)
			files = append(files, &operators.RecordFile{Name: filepath.ToSlash(name), Content: string(content)})
			return err
		})
		if err != nil {
			return nil, usageError{err}
		}
	}
	if len(files) == 0 {
		return nil, usageError{fmt.Errorf("no .yaml or .yml file found in %v", paths)}
	}
	return files, nil
}

func isYAML(name string) bool {
	extension := filepath.Ext(name)
	return extension == ".yaml" || extension == ".yml"
}
