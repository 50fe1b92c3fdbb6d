package org.granitepath.cli;

import com.beust.jcommander.Parameters;

/** Validates the settings without starting a controller. */
@Parameters(commandDescription = "validates the settings and reports the first error")
final class CheckConfigCommand extends Command.WithSettings {
    @Override
    int run() throws InvalidSettingException {
        Settings settings = settings();
        int peers = settings.peerAddresses().size();
        int teams = settings.config().teams().size();
        System.out.println("ok: " + settings.config().node() + " with " + peers + " peers, " + teams + " teams");
        return OK;
    }
}
