/** Simulated endpoints and a simulated platform for demos, tests and benchmarks. */
@NullMarked
package org.fuchsiawharf.standin;

import org.jspecify.annotations.NullMarked;
