/*
Package ctconfig holds the configuration that operators write: database groups,
fleet-wide defaults, and exceptions that each carry a written reason.

# Defaults and exceptions

The defaults hold for every group. An exception replaces some of them for one
group, until its end date where it has one. The zero value of every setting
stands for the default that its comment states, so the zero Document is a valid
configuration without groups.

# Usage

	settings := document.Effective("fit-registry", now)
	limit := settings.Reads.MaxAge.Or(ctconfig.DefaultMaxAge)
*/
package ctconfig
