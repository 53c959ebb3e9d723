/** Decisions on retries, hedges and attempt timeouts, and their budgets. */
@NullMarked
package org.fuchsiawharf.core.retry;

import org.jspecify.annotations.NullMarked;
