/** Small stand-ins of endpoints and the platform, for demos, tests and measurements. */
@NullMarked
package org.fuchsiawharf.standin;

import org.jspecify.annotations.NullMarked;
