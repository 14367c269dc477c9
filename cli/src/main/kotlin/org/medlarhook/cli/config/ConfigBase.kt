package org.medlarhook.cli.config

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonObject
import org.medlarhook.core.directory.ModelDeclaration
import org.medlarhook.core.directory.ServiceDeclaration
import org.medlarhook.core.directory.Workspace

/**
 * The content of a configuration's base file.
 *
 * @property siteDefaults settings shared by all sites; the overlay file of each site is applied to them as a JSON merge
 *   patch.
 */
@Serializable
internal data class ConfigBase(
    val workspaces: List<Workspace> = emptyList(),
    val models: List<ModelDeclaration> = emptyList(),
    val services: List<ServiceDeclaration> = emptyList(),
    val siteDefaults: JsonObject = JsonObject(emptyMap()),
)
