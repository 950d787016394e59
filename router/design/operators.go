package design

import (
	. "goa.design/goa/v3/dsl" //nolint:revive,staticcheck // The goa DSL is meant to be dot-imported.
)

// candidate is a backend server that was considered for a request.
var candidate = Type("Candidate", func() {
	Attribute("backend_server", String)
	Attribute("cost", String, "Estimated cost of running the request there, as a duration.")
	Attribute("wait", String, "Estimated time in the queue; a part of the cost.")
	Attribute("cached_tokens", UInt32)
	Required("backend_server", "cost")
})

// attempt is an attempt to run a request on a backend server.
var attempt = Type("Attempt", func() {
	Attribute("backend_server", String)
	Attribute("result", String)
	Attribute("after", String, "Time from the receipt of the request until the attempt was accepted or declined.")
	Attribute("reason", String)
	Attribute("ran", String)
	Required("backend_server", "result")
})

// explanation is the decision about a request.
var explanation = Type("Explanation", func() {
	Attribute("request_id", String)
	Attribute("summary", String, "Description of what happened to the request.")
	Attribute("text", String, "The summary, followed by the details of the decision.")
	Attribute("at", String, "Time at which the request was received, in RFC 3339.")
	Attribute("team", String)
	Attribute("deployment", String)
	Attribute("policy", String)
	Attribute("revision", UInt64, "Revision of the records that the decision is based on.")
	Attribute("outcome", String)
	Attribute("reason", String)
	Attribute("ran", String)
	Attribute("detail", String)
	Attribute("prompt_tokens", UInt32)
	Attribute("cached_tokens", UInt32)
	Attribute("candidates", ArrayOf(candidate))
	Attribute("attempts", ArrayOf(attempt))
	Required("request_id", "summary", "text", "at", "team", "deployment", "revision", "outcome", "reason", "ran", "prompt_tokens", "cached_tokens")
})

// recordFile is a file with records to apply.
var recordFile = Type("RecordFile", func() {
	Attribute("name", String, "Name of the file, used in error messages.", func() { MaxLength(1024) })
	Attribute("content", String, "Records as a stream of YAML documents.", func() { MaxLength(4 << 20) })
	Required("name", "content")
})

// recordChange is a record before and after a change.
var recordChange = Type("RecordChange", func() {
	Attribute("record", String, "Kind and name, separated by a slash.")
	Attribute("before", String, "YAML documents of the record before the change; empty for a new record.")
	Attribute("after", String, "YAML documents of the record after the change; empty for a deleted record.")
	Required("record", "before", "after")
})

// applied is the result of a change.
var applied = Type("Applied", func() {
	Attribute("revision", UInt64, "Revision of the change; the current revision if nothing changed or for a dry run.")
	Attribute("changes", ArrayOf(recordChange))
	Required("revision", "changes")
})

// heldRecord is a record in the configuration store.
var heldRecord = Type("HeldRecord", func() {
	Attribute("record", String, "Kind and name, separated by a slash.")
	Attribute("schema_version", Int)
	Attribute("document", String, "The record as YAML.")
	Required("record", "schema_version", "document")
})

// heldRecords is a list of records at a revision.
var heldRecords = Type("HeldRecords", func() {
	Attribute("revision", UInt64)
	Attribute("records", ArrayOf(heldRecord))
	Required("revision", "records")
})

// auditEntry is the entry of one revision in the audit trail.
var auditEntry = Type("AuditEntry", func() {
	Attribute("revision", UInt64)
	Attribute("when", String)
	Attribute("who", String)
	Attribute("from", String, "Network address that the change was sent from.")
	Attribute("reason", String)
	Attribute("changes", ArrayOf(recordChange))
	Attribute("digest", String)
	Required("revision", "when", "who", "from", "reason", "changes", "digest")
})

// auditEntries is a part of the audit trail.
var auditEntries = Type("AuditEntries", func() {
	Attribute("entries", ArrayOf(auditEntry), "Entries in the order of their revisions.")
	Attribute("newest", UInt64, "Newest revision known to the router.")
	Required("entries", "newest")
})

// refusalList is a list of decisions about refused requests.
var refusalList = Type("Refusals", func() {
	Attribute("refusals", ArrayOf(explanation), "Decisions about the refused requests, newest first.")
	Attribute("complete", Boolean, "False if there may be more refusals.")
	Required("refusals", "complete")
})

// routerStatus is the state of a router.
var routerStatus = Type("RouterStatus", func() {
	Attribute("name", String)
	Attribute("availability_zone", String)
	Attribute("incarnation", String)
	Attribute("ready", Boolean)
	Attribute("revision", UInt64)
	Attribute("age", String, "Time since the revision was last known to be the newest.")
	Attribute("error", String, "Error of the status request if the router did not answer.")
	Required("name", "availability_zone", "ready", "revision")
})

// backendServerStatus is the state of a backend server.
var backendServerStatus = Type("BackendServerStatus", func() {
	Attribute("name", String)
	Attribute("deployment", String)
	Attribute("availability_zone", String)
	Attribute("state", String)
	Attribute("running", UInt32)
	Attribute("queued", UInt32)
	Attribute("weights_version", String)
	Attribute("revision", UInt64, "Highest revision that its sidecar has seen.")
	Required("name", "deployment", "availability_zone", "state")
})

// fleetStatus is the state of all routers and backend servers.
var fleetStatus = Type("FleetStatus", func() {
	Attribute("revision", UInt64)
	Attribute("routers", ArrayOf(routerStatus))
	Attribute("backend_servers", ArrayOf(backendServerStatus))
	Attribute("explain_pending", Int, "Number of decisions of the responding router that are not yet in the object store.")
	Attribute("explain_dropped", UInt64, "Number of decisions of the responding router that were dropped because too many were waiting for the object store.")
	Attribute("struck", Int, "Number of requests that were running when a backend server crashed; -1 if the table service does not answer.")
	Attribute("quarantined", Int, "Number of these requests that are quarantined and refused.")
	Required("revision", "routers", "backend_servers", "explain_pending", "explain_dropped", "struck", "quarantined")
})

// operatorKey declares the API key of the methods of the operators' API.
func operatorKey() {
	APIKey("bearer", "key", String, "API key of a team of operators, or an operator key from the settings of the router.")
}

// suspect is a request that was running when a backend server crashed.
var suspect = Type("Suspect", func() {
	Attribute("fingerprint", String, "Identifies the request's team and content.")
	Attribute("team", String)
	Attribute("crashes", ArrayOf(String), "Names of the crashes: the lost backend servers with their incarnations, or abandoned trials.")
	Attribute("quarantined", Boolean, "Whether the request is quarantined and refused.")
	Required("fingerprint", "team", "crashes", "quarantined")
})

// operatorChange declares the attributes of all methods that change records.
func operatorChange() {
	operatorKey()
	Attribute("operator", String, "Name of the operator who makes the change.", func() {
		MinLength(1)
		MaxLength(128)
	})
	Attribute("reason", String, "Reason for the change, for the audit trail.", func() {
		MinLength(1)
		MaxLength(1000)
	})
	Attribute("token", String, "Identifies the change, so that it is applied only once, even if the request is repeated.", func() { MaxLength(64) })
	Attribute("base", UInt64, "Revision that the change is based on; 0 to skip the conflict check. Ignored by rollback and drain, which are based on the current revision.", func() { Default(0) })
	Attribute("dry_run", Boolean, "Validate the change and return its effect, without applying it.", func() { Default(false) })
}

// operatorErrors declares the errors of the operators' API and their HTTP statuses.
func operatorErrors() {
	for _, name := range []string{"bad_request", "unauthorized", "forbidden", "not_found", "conflict", "tampered", "unavailable"} {
		Error(name)
	}
	HTTP(func() {
		Response("bad_request", StatusBadRequest)
		Response("unauthorized", StatusUnauthorized)
		Response("forbidden", StatusForbidden)
		Response("not_found", StatusNotFound)
		Response("conflict", StatusConflict)
		Response("tampered", StatusUnprocessableEntity)
		Response("unavailable", StatusServiceUnavailable)
	})
}

var _ = Service("operators", func() {
	Description("Lets operators change records, lift quarantines, and inspect requests, routers and backend servers.")
	Security(bearer)
	operatorErrors()

	Method("apply", func() {
		Description("Creates, replaces and deletes records in one transaction.")
		Payload(func() {
			operatorChange()
			Attribute("files", ArrayOf(recordFile))
			Attribute("delete", ArrayOf(String), "Records to delete, each as kind and name, separated by a slash.")
			Required("key", "operator", "reason")
		})
		Result(applied)
		HTTP(func() {
			POST("/v1/records")
			Header("key:Authorization")
			Response(StatusOK)
		})
	})

	Method("rollback", func() {
		Description("Restores the records of an earlier revision as a new revision.")
		Payload(func() {
			operatorChange()
			Attribute("revision", UInt64)
			Required("key", "operator", "reason", "revision")
		})
		Result(applied)
		HTTP(func() {
			POST("/v1/rollback")
			Header("key:Authorization")
			Response(StatusOK)
		})
	})

	Method("drain", func() {
		Description("Changes the record of a backend server so that it starts or stops draining.")
		Payload(func() {
			operatorChange()
			Attribute("name", String)
			Attribute("undo", Boolean, "Stop draining.", func() { Default(false) })
			Required("key", "operator", "reason", "name")
		})
		Result(applied)
		HTTP(func() {
			POST("/v1/backend-servers/{name}/drain")
			Header("key:Authorization")
			Response(StatusOK)
		})
	})

	Method("suspects", func() {
		Description("Lists requests that were running when a backend server crashed.")
		Payload(func() {
			operatorKey()
			Required("key")
		})
		Result(ArrayOf(suspect))
		HTTP(func() {
			GET("/v1/suspects")
			Header("key:Authorization")
			Response(StatusOK)
		})
	})

	Method("lift", func() {
		Description("Deletes the recorded crashes of a request, so that it may run again.")
		Payload(func() {
			operatorKey()
			Attribute("fingerprint", String, func() { MaxLength(64) })
			Attribute("operator", String, "Name of the operator who lifts the quarantine.", func() {
				MinLength(1)
				MaxLength(128)
			})
			Attribute("reason", String, "Reason for lifting the quarantine, for the log.", func() {
				MinLength(1)
				MaxLength(1000)
			})
			Required("key", "fingerprint", "operator", "reason")
		})
		HTTP(func() {
			POST("/v1/suspects/{fingerprint}/lift")
			Header("key:Authorization")
			Response(StatusNoContent)
		})
	})

	Method("records", func() {
		Payload(func() {
			operatorKey()
			Attribute("kind", String)
			Attribute("name", String)
			Attribute("revision", UInt64, "Revision to return; 0 for the newest.", func() { Default(0) })
			Attribute("variants", Boolean, "Return all variants of each record, including those of other schema versions and the one that is being rolled out, instead of only the variant in force.", func() { Default(false) })
			Required("key")
		})
		Result(heldRecords)
		HTTP(func() {
			GET("/v1/records")
			Header("key:Authorization")
			Param("kind")
			Param("name")
			Param("revision")
			Param("variants")
			Response(StatusOK)
		})
	})

	Method("history", func() {
		Description("Returns the newest entries of the audit trail.")
		Payload(func() {
			operatorKey()
			Attribute("record", String, "Kind and name of a record, separated by a slash; empty for all records.")
			Attribute("before", UInt64, "Return only entries below this revision; 0 to start from the newest.", func() { Default(0) })
			Attribute("limit", Int, func() {
				Minimum(1)
				Maximum(1000)
				Default(20)
			})
			Required("key")
		})
		Result(auditEntries)
		HTTP(func() {
			GET("/v1/history")
			Header("key:Authorization")
			Param("record")
			Param("before")
			Param("limit")
			Response(StatusOK)
		})
	})

	Method("verify", func() {
		Description("Checks that no entry of the audit trail is missing or modified.")
		Payload(func() {
			operatorKey()
			Required("key")
		})
		Result(func() {
			Attribute("entries", Int)
			Required("entries")
		})
		HTTP(func() {
			GET("/v1/audit/verify")
			Header("key:Authorization")
			Response(StatusOK)
		})
	})

	Method("explain", func() {
		Payload(func() {
			operatorKey()
			Attribute("id", String, "ID of the request.")
			Required("key", "id")
		})
		Result(explanation)
		HTTP(func() {
			GET("/v1/explain/{id}")
			Header("key:Authorization")
			Response(StatusOK)
		})
	})

	Method("why_not", func() {
		Description("Returns the refusals that match the given team, deployment, reason and period.")
		Payload(func() {
			operatorKey()
			Attribute("team", String)
			Attribute("deployment", String)
			Attribute("reason", String)
			Attribute("since", String, "Start of the period, in RFC 3339; one hour ago if empty.")
			Attribute("until", String, "End of the period, in RFC 3339; now if empty.")
			Attribute("limit", Int, func() {
				Minimum(1)
				Maximum(1000)
				Default(20)
			})
			Required("key")
		})
		Result(refusalList)
		HTTP(func() {
			GET("/v1/refusals")
			Header("key:Authorization")
			Param("team")
			Param("deployment")
			Param("reason")
			Param("since")
			Param("until")
			Param("limit")
			Response(StatusOK)
		})
	})

	Method("status", func() {
		Payload(func() {
			operatorKey()
			Required("key")
		})
		Result(fleetStatus)
		HTTP(func() {
			GET("/v1/status")
			Header("key:Authorization")
			Response(StatusOK)
		})
	})
})
