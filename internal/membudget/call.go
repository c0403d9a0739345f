package membudget

// Call accounts for the memory of one call. The methods may be called concurrently, and on a nil
// Call, which has no bound.
type Call struct {
	budget       *Budget
	organisation string
	// The budget's lock guards held and closed.
	held   int64
	closed bool
}

// GrowNew accounts for more bytes of a call that has not been sent to a server yet. It returns false
// if there is no room.
func (c *Call) GrowNew(bytes int64) bool {
	if c == nil {
		return true
	}
	limits := c.budget.limits
	return c.grow(bytes, Limits{newPart(limits.Total), newPart(limits.PerOrganisation), newPart(limits.PerCall)})
}

// Grow accounts for more bytes of a call in progress. It returns false if there is no room.
func (c *Call) Grow(bytes int64) bool {
	if c == nil {
		return true
	}
	return c.grow(bytes, c.budget.limits)
}

func (c *Call) grow(bytes int64, limits Limits) bool {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	fits := within(b.held+bytes, limits.Total) && within(b.organisations[c.organisation]+bytes, limits.PerOrganisation) && within(c.held+bytes, limits.PerCall)
	if c.closed || !fits {
		return false
	}
	c.add(bytes)
	return true
}

// Release accounts for bytes that the call no longer holds.
func (c *Call) Release(bytes int64) {
	if c == nil {
		return
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.release(min(bytes, c.held))
}

// Close releases all that the call holds. Later calls of the methods have no effect.
func (c *Call) Close() {
	if c == nil {
		return
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.release(c.held)
	c.closed = true
}

// release is Release for a caller that holds the budget's lock.
func (c *Call) release(bytes int64) {
	c.budget.released += bytes
	c.add(-bytes)
}

// add changes what the call holds. The caller holds the budget's lock.
func (c *Call) add(bytes int64) {
	b := c.budget
	c.held += bytes
	b.held += bytes
	b.organisations[c.organisation] += bytes
	if b.organisations[c.organisation] == 0 {
		delete(b.organisations, c.organisation)
	}
}
