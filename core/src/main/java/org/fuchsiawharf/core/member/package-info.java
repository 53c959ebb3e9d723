/** Membership of live instances, the ownership of stage services and the messages between instances. */
@NullMarked
package org.fuchsiawharf.core.member;

import org.jspecify.annotations.NullMarked;
