// Package cost estimates the work of a request, in milliseconds at an upstream of typical
// speed, from what requests with the same features have shown.
//
// An Estimator is a pure state of fixed size. Each request has keys from coarse to fine:
// its route, its customer, its size, parts of its path, and the same request before. For
// each key it keeps a histogram of work that fades. An estimate starts from the histogram
// of the route. Each finer key then counts as much as it has seen, and as much as it has
// predicted this route's requests better than the coarser ones did. So a key without
// evidence, or one without information, changes nothing.
package cost
