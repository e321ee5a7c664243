// Package tablesync keeps the newest tables in a daemon: from the store if the
// daemon is a watcher of its zone, and from its peers otherwise.
package tablesync
