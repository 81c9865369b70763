// Package config defines the dynamic configuration of the fleet. A partner's team
// fills in a Questionnaire; Generate derives the partner's Section from it. The
// Document holds the sections of all partners and applies to every VM.
//
// The platform's store keeps the document under RootKey, the chunks of a large
// document under keys of their own. The revision of the document never decreases.
// Each section is signed by its partner's operators; every agent verifies the
// signatures before it adopts a document.
package config
