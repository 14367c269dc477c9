package org.medlarhook.entry.directory

import arrow.core.Either
import org.medlarhook.core.directory.ModelDeclaration
import org.medlarhook.core.directory.ServiceDeclaration
import org.medlarhook.core.directory.Workspace
import org.medlarhook.core.result.Failure

/** Read access to the directory for the handling of requests. */
internal interface DirectoryView {
    /** The version that this process uses. */
    val version: Long

    /** True once requests can be checked against the directory. */
    val isReady: Boolean
        get() = version > 0

    /** Returns the workspace of [presentedKey], or why the key is refused at [nowMs]. */
    fun authenticate(presentedKey: String, nowMs: Long): Either<Failure, Workspace>

    /** Whether an open request with [presentedKey] may continue at [nowMs]. */
    fun stillAllowed(presentedKey: String, nowMs: Long): Boolean = authenticate(presentedKey, nowMs).isRight()

    /** Returns the model with [name], or null. */
    fun model(name: String): ModelDeclaration?

    /** Returns all declared models. */
    fun models(): List<ModelDeclaration>

    /** Returns the plain service with [name], or null. */
    fun service(name: String): ServiceDeclaration?
}
