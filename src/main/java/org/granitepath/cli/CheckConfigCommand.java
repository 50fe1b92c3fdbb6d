package org.granitepath.cli;

import com.beust.jcommander.Parameters;

/** Checks settings without using them. */
@Parameters(commandDescription = "checks settings and says what is wrong with them")
final class CheckConfigCommand extends Command.WithSettings {
    @Override
    int run() throws InvalidSettingException {
        Settings settings = settings();
        int peers = settings.peerAddresses().size();
        int teams = settings.config().teams().size();
        System.out.println("ok: " + settings.config().node() + " with " + peers + " others, " + teams + " teams");
        return OK;
    }
}
