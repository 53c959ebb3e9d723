/** Microbenchmarks of individual decisions. */
@NullMarked
package org.fuchsiawharf.benchmarks;

import org.jspecify.annotations.NullMarked;
