package org.medlarhook.ports

import arrow.core.Either
import kotlinx.serialization.Serializable

/** The platform's list of VMs; it lags behind the actual state. */
public interface VmDirectory {
    /** The VMs that the platform lists now. */
    public fun list(): Either<TableFailure, List<ListedVm>>
}

/** A VM in the list; [leaving] is true if the platform will stop it soon. */
@Serializable
public data class ListedVm(
    val vmId: String,
    val dataCentre: String,
    val leaving: Boolean,
)
