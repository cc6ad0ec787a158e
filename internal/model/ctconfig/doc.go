/*
Package ctconfig defines the configuration that operators write: database groups,
defaults for the whole fleet, exceptions for single groups, and routes from
database names to groups.

# Defaults and exceptions

The defaults apply to every group. An exception replaces some of them for one
group, until its expiry if it has one. Each exception states its reason in words.
The zero value of a setting stands for the default that its comment states. The
zero Document is a valid configuration without groups.

# Workspaces and keys

A workspace is a set of callers that share keys, a priority and a rate limit. The
document holds digests of the keys. Where it requires keys, a caller is served as
the workspace that holds its key.

# Usage

	settings := document.EffectiveSettings("fit-registry", now)
	limit := settings.Reads.MaxAge.Or(ctconfig.DefaultMaxAge)
*/
package ctconfig
