/** Retry and hedging decisions and their budgets. */
@NullMarked
package org.fuchsiawharf.core.retry;

import org.jspecify.annotations.NullMarked;
