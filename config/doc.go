// Package config defines the dynamic configuration of the fleet: the
// questionnaire that a team fills in, the section generated from it, and the
// document of all sections that is in force on every VM.
//
// The document is the single root value in the platform's store. Its revision
// only rises.
package config
