// Package tablesync keeps the tables of a daemon up to date: from the store if the
// daemon is a watcher of its zone, and from its peers otherwise.
package tablesync
