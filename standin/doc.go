// Package standin serves fakes of the platform's services on loopback: the
// configuration store, the VM list and the upstreams.
//
// They implement the protocols of store/httpstore, roster/httproster and
// upstream/httpup. Faults can be set while they run, by Inject or over HTTP on
// the control address of a Deployment:
//
//	POST /fault   {"target": "search/planner-01/a", "fault": "slow_factor", "value": 10}
//	              200 {"applied": 1}; 400 {"error": "..."} names the field and the accepted values
//	GET /faults   200, the faults of each kind of target with their accepted values
//	GET /ledger   200 {"orders": 10, "runs": 10, "repeated": []}
//
// A target is "store", "vm_list", or the path of an upstream, group or service;
// a group or service stands for all of its upstreams.
//
//	store              down, slow_ms, lose_answers, lapse_leases, writes_per_second, reads_per_second
//	vm_list            down, slow_ms, lag_ms
//	upstream           down, limit, connect_ms, median_ms, sigma, slow_factor, slow_share,
//	                   slow_share_factor, cold_ms, cold_factor, workers, shed_above, leaving,
//	                   hold, drop, ranges, load_lag_ms, load_lies, late_ms, late_share,
//	                   crossed_share, cut_share, doubled_share
//	service            rollover, repartition
//
// The VM list also accepts POST /vms with one VM and DELETE /vms?id=ID, by which
// a demo registers its daemons; VMs do not call these.
package standin
