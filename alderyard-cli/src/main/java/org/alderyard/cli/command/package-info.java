/** Sub-commands: what each accepts, apart from its run and from the rendering of help. */
package org.alderyard.cli.command;
