/** The live instances, and which of them owns a stage service. */
@NullMarked
package org.fuchsiawharf.core.member;

import org.jspecify.annotations.NullMarked;
