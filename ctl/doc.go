// Package ctl implements the operators' commands: generating, checking and
// applying the configuration, granting and withdrawing keys, and showing what
// the fleet does.
package ctl
