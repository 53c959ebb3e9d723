/** Finds the prompt parts and requests under which endpoints crash, from what the instances of the fleet observe together. */
@NullMarked
package org.fuchsiawharf.core.quarantine;

import org.jspecify.annotations.NullMarked;
