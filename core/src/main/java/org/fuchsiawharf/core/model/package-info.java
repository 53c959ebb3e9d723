/** Immutable value types: pipelines, workspaces, endpoints, payloads and outcomes. */
@NullMarked
package org.fuchsiawharf.core.model;

import org.jspecify.annotations.NullMarked;
