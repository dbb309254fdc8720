// Package explain holds the query of the page /explain of an instance and its answer, as
// peridotmoorctl and the instance exchange them. It contains their encoding and no decisions.
package explain
